#include "ConfigCheckCommand.h"

#include "Table.h"
#include "platform/ConfigDecoder.h"
#include "platform/StoreClient.h"
#include "serving/ConfigCheck.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Line and column of the first byte that could not be parsed.
std::string positionText(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::ranges::count(before, '\n');
    const auto lastBreak = before.rfind('\n');
    const std::size_t column =
        lastBreak == std::string_view::npos ? before.size() + 1 : before.size() - lastBreak;
    return fmt::format("line {}, column {}", line, column);
}

Result<ServingConfigPtr> parseConfig(std::string_view text)
{
    json::stream_parser parser;
    boost::system::error_code error;
    const std::size_t parsed = parser.write_some(text.data(), text.size(), error);
    const std::string_view rest = text.substr(parsed);
    const bool isWhole = rest.find_first_not_of(" \t\r\n") == std::string_view::npos;
    if (error || !parser.done() || !isWhole)
        return failure(ErrorKind::InvalidConfig,
                       positionText(text, parsed) + ": "
                           + (error ? error.message() : std::string("unexpected text or end")));
    return platform::decodeConfig(parser.release());
}

Result<ServingConfigPtr> readLive(const Endpoint &address)
{
    asio::io_context context;
    Result<ServingConfigPtr> config = failure(ErrorKind::NotFound, "the store holds none");
    const auto read = [&]() -> asio::awaitable<void> {
        platform::StoreClient store(context.get_executor(), address);
        const auto found = co_await store.find(platform::configKind(), platform::configName());
        if (!found)
            config = tl::unexpected(found.error());
        else if (found->object)
            config = platform::decodeConfig(found->object->spec);
    };
    asio::co_spawn(context, read, asio::detached);
    context.run();
    return config;
}

Result<ServingConfigPtr> readOther(const ConfigCheckOptions &options)
{
    if (options.against == "live") {
        if (!options.store)
            return failure(ErrorKind::BadRequest, "--against=live needs --store");
        return readLive(*options.store);
    }
    const auto text = readFile(options.against);
    return text ? parseConfig(*text) : tl::unexpected(text.error());
}

std::string toJson(const std::vector<ConfigFinding> &findings,
                   const std::vector<ConfigDifference> &differences)
{
    json::array found;
    for (const ConfigFinding &finding : findings)
        found.emplace_back(json::object{{"place", finding.place}, {"message", finding.message}});
    json::array changed;
    for (const ConfigDifference &row : differences)
        changed.emplace_back(
            json::object{{"place", row.place}, {"before", row.before}, {"after", row.after}});
    return json::serialize(json::object{{"findings", found}, {"differences", changed}}) + "\n";
}

std::string toText(const std::vector<ConfigFinding> &findings,
                   const std::vector<ConfigDifference> &differences, bool compared)
{
    std::string text;
    for (const ConfigFinding &finding : findings)
        text += finding.place + ": " + finding.message + "\n";
    if (findings.empty())
        text += "valid\n";
    TableRows rows{{"CHANGES", "BEFORE", "AFTER"}};
    for (const ConfigDifference &row : differences)
        rows.push_back({row.place, row.before, row.after});
    if (rows.size() > 1)
        text += formatTable(rows);
    else if (compared)
        text += "no differences\n";
    return text;
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    std::stringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    text << file.rdbuf();
    if (!file)
        return failure(ErrorKind::NotFound, "cannot read " + path);
    return text.str();
}

Result<std::string> checkConfigText(std::string_view text, const ConfigCheckOptions &options,
                                    std::size_t &findings)
{
    const auto config = parseConfig(text);
    if (!config)
        return tl::unexpected(config.error());
    const std::vector<ConfigFinding> found = checkConfig(**config);
    findings = found.size();
    std::vector<ConfigDifference> differences;
    const bool compares = !options.against.empty();
    if (compares) {
        const auto other = readOther(options);
        if (!other)
            return failure(other.error().kind, options.against + ": " + other.error().message);
        differences = compareConfigs(**other, **config);
    }
    return options.json ? toJson(found, differences) : toText(found, differences, compares);
}

} // namespace tamarack::ctl
