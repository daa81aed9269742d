#include "orders/LoadPermits.h"

#include "config/JsonObjectReader.h"

#include <algorithm>

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

Result<std::vector<LoadHolder>> parseLoadHolders(std::string_view text)
{
    std::vector<LoadHolder> holders;
    if (text.empty())
        return holders;
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return failure(ErrorKind::BadRequest, "invalid load permit object: " + error.message());
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    if (const auto *items = reader.array("holders")) {
        for (const auto &item : *items) {
            JsonObjectReader row(item, "holders", faults);
            const std::string name = row.requiredString("name");
            const auto incarnation = parseHex64(row.requiredString("incarnation"));
            if (!incarnation)
                row.fault("incarnation", "must be 16 hex digits");
            row.finish();
            holders.push_back({name, incarnation.value_or(0)});
        }
    }
    reader.finish();
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, "invalid load permit object: " + toString(faults));
    return holders;
}

std::string encodeLoadHolders(const std::vector<LoadHolder> &holders)
{
    json::array items;
    for (const LoadHolder &holder : holders)
        items.emplace_back(
            json::object{{"name", holder.name}, {"incarnation", hex64(holder.incarnation)}});
    return json::serialize(json::object{{"holders", items}});
}

void LoadPermits::dropDead(std::vector<LoadHolder> &holders, TimePoint now)
{
    std::vector<ObservedHolder> present;
    for (const LoadHolder &holder : holders) {
        const auto known = std::ranges::find(m_observedHolders, holder, &ObservedHolder::holder);
        present.push_back({holder, known == m_observedHolders.end() ? now : known->since});
    }
    m_observedHolders = present;
    std::erase_if(holders, [this, now](const LoadHolder &holder) {
        const auto observed = std::ranges::find(m_observedHolders, holder, &ObservedHolder::holder);
        return now - observed->since > m_holdBound;
    });
}

std::optional<std::vector<LoadHolder>> LoadPermits::acquire(std::vector<LoadHolder> holders,
                                                            std::size_t permits, TimePoint now)
{
    std::erase_if(holders, [this](const LoadHolder &holder) {
        return holder.name == m_self.name && holder != m_self;
    });
    dropDead(holders, now);
    if (std::ranges::find(holders, m_self) != holders.end())
        return holders;
    if (holders.size() >= permits)
        return std::nullopt;
    holders.push_back(m_self);
    return holders;
}

std::optional<std::vector<LoadHolder>> LoadPermits::release(std::vector<LoadHolder> holders) const
{
    if (std::erase(holders, m_self) == 0)
        return std::nullopt;
    return holders;
}

} // namespace tamarack
