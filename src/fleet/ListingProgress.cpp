#include "fleet/ListingProgress.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace tamarack {

namespace {

/// Whether a store that refuses unusual names is likely to accept this one in a query.
bool isPlain(std::string_view name)
{
    const auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
    return !name.empty() && name.size() <= ListingProgress::plainNameBytes
           && std::ranges::all_of(name, isVisible);
}

} // namespace

ListingProgress::State ListingProgress::handlePage(std::vector<std::string> names, bool more)
{
    m_alternatives = std::move(names);
    m_refusals = 0;
    if (!more)
        return State::Whole;
    if (m_alternatives.empty())
        return State::Stuck;
    std::string last = std::move(m_alternatives.back());
    m_alternatives.pop_back();
    return goOnFrom(std::move(last));
}

ListingProgress::State ListingProgress::handleRefusal()
{
    if (m_refusals++ >= maxAlternatives)
        return State::Stuck;
    while (!m_alternatives.empty()) {
        std::string name = std::move(m_alternatives.back());
        m_alternatives.pop_back();
        if (isPlain(name) && !m_used.contains(name))
            return goOnFrom(std::move(name));
    }
    return State::Stuck;
}

ListingProgress::State ListingProgress::goOnFrom(std::string name)
{
    if (!m_used.insert(name).second)
        return State::Stuck;
    m_after = std::move(name);
    return State::Unfinished;
}

} // namespace tamarack
