#include "soak/StorePlan.h"

#include "soak/Draw.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/json.hpp>

namespace tamarack::soak {

namespace {

using namespace std::string_view_literals;

constexpr std::uint64_t storeSeed = 0x570e5eed;
constexpr auto pageSizes = std::to_array<std::size_t>({1, 2, 3, 7, 500});
constexpr auto kinds =
    std::to_array<std::string_view>({"servers", "config", "tamarack-entries", "tamarack-streams"});
/// Before, among and after the names of entries, of the configuration and of upstreams.
constexpr auto prefixes = std::to_array<std::string_view>({"a", "entry-0", "n", "up-0", "z"});
/// None can stand in a path or a query as it is.
constexpr auto suffixes = std::to_array<std::string_view>(
    {"%#"sv, "%#zz"sv, "&b="sv, "+"sv, "%C3%A9"sv, " b"sv, "/../"sv, "?x"sv, "\"\\"sv, "\xC3\xA9"sv,
     "\r\nX: y"sv, ";="sv, "%"sv, "\x7f\t"sv, "\0b"sv, "\xF0\x9F\x8C\xB2"sv});
constexpr std::size_t fewestAtStart = 2;
constexpr std::size_t extraAtStart = 6;
constexpr std::size_t mostLater = 2;

std::string drawName(Draw &draw)
{
    std::string name(prefixes.at(draw.below(prefixes.size())));
    return name.append(suffixes.at(draw.below(suffixes.size())));
}

} // namespace

std::string toString(const StorePlan &plan)
{
    std::string text = "pages of " + std::to_string(plan.pageSize);
    for (const ForeignObject &object : plan.objects)
        text += ", " + std::to_string(object.at.count()) + " ms: " + object.kind + " "
                + boost::json::serialize(boost::json::string(object.name));
    return text;
}

StorePlan drawStorePlan(std::uint64_t seed, milliseconds length)
{
    Draw draw(seed ^ storeSeed);
    StorePlan plan;
    plan.pageSize = pageSizes.at(draw.below(pageSizes.size()));
    for (const std::string_view kind : kinds) {
        const std::size_t atStart = fewestAtStart + draw.below(extraAtStart);
        const std::size_t later = draw.below(mostLater + 1);
        for (std::size_t i = 0; i < atStart + later; ++i) {
            const milliseconds at =
                i < atStart ? milliseconds(0) : draw.between(milliseconds(1), length);
            plan.objects.push_back({std::string(kind), drawName(draw), at});
        }
    }
    std::ranges::stable_sort(plan.objects, {}, &ForeignObject::at);
    return plan;
}

} // namespace tamarack::soak
