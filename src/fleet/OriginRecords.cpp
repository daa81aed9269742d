#include "fleet/OriginRecords.h"

#include "base/RequestId.h"
#include "fleet/OriginSaving.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr std::string_view upstreamField = "upstream";
constexpr std::string_view bornField = "born";
constexpr std::string_view versionField = "version";
constexpr std::string_view streamsField = "streams";
/// Each origin holds a copy of the texts that its group states once: an object of another writer
/// could take any multiple of its size.
constexpr std::size_t longestText = 256;

std::optional<StreamKey> decodeStream(const json::value &value)
{
    // Shorter texts would take many times their size as origins.
    const auto *text = value.if_string();
    return text ? parseHex64(*text) : std::nullopt;
}

/// Appends the origins of the streams that one upstream began.
void decodeGroup(const json::value &value, std::vector<StreamOrigin> &origins)
{
    const auto *group = value.if_object();
    const auto *upstream = group ? group->if_contains(upstreamField) : nullptr;
    const auto *born = group ? group->if_contains(bornField) : nullptr;
    const auto *version = group ? group->if_contains(versionField) : nullptr;
    const auto *streams = group ? group->if_contains(streamsField) : nullptr;
    const bool complete = upstream && upstream->is_string() && born && born->is_number() && version
                          && version->is_string() && streams && streams->is_array();
    boost::system::error_code error;
    const auto bornAt = complete ? born->to_number<std::uint64_t>(error) : 0;
    if (!complete || error || upstream->get_string().size() > longestText
        || version->get_string().size() > longestText)
        return;
    for (const json::value &each : streams->get_array()) {
        if (origins.size() >= OriginSaving::maxRows)
            return;
        if (const auto stream = decodeStream(each))
            origins.push_back({*stream, std::string(upstream->get_string()), bornAt,
                               std::string(version->get_string()), false});
    }
}

} // namespace

json::value encodeOrigins(std::span<const StreamOrigin> origins)
{
    std::map<std::pair<std::string_view, std::uint64_t>, json::object> groups;
    for (const StreamOrigin &origin : origins) {
        if (origin.ambiguous)
            continue;
        json::object &group = groups[{origin.upstreamId, origin.born}];
        group[upstreamField] = origin.upstreamId;
        group[bornField] = origin.born;
        group[versionField] = origin.version;
        json::value &streams = group[streamsField];
        if (!streams.is_array())
            streams.emplace_array();
        streams.get_array().emplace_back(hex64(origin.stream));
    }
    json::array rows;
    for (auto &[key, group] : groups)
        rows.emplace_back(std::move(group));
    return rows;
}

std::vector<StreamOrigin> decodeOrigins(const json::value &content)
{
    std::vector<StreamOrigin> origins;
    if (const auto *rows = content.if_array())
        for (const json::value &row : *rows)
            decodeGroup(row, origins);
    return origins;
}

} // namespace tamarack
