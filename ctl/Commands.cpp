#include "Commands.h"

#include "ConfigCheckCommand.h"
#include "Table.h"
#include "base/Time.h"
#include "config/FleetConfig.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <set>
#include <thread>

#include <boost/json.hpp>
#include <unistd.h>

namespace tamarack::ctl {

namespace json = boost::json;

namespace {

using Words = std::span<const std::string>;

constexpr milliseconds pollInterval{200};
constexpr int exitOk = 0;

int report(const Error &error)
{
    std::cerr << "tamarackseamctl: " << error.message << '\n';
    return errorAnswer(error.kind).exitCode;
}

std::string textOf(const json::value &value)
{
    if (value.is_string())
        return std::string(value.get_string());
    return json::serialize(value);
}

std::string member(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value ? textOf(*value) : "-";
}

/// Appends one row per leaf that differs.
void diffValues(const std::string &path, const json::value *a, const json::value *b,
                TableRows &rows)
{
    if (a && b && *a == *b)
        return;
    const bool objects = a && b && a->is_object() && b->is_object();
    if (!objects) {
        rows.push_back({path, a ? textOf(*a) : "(absent)", b ? textOf(*b) : "(absent)"});
        return;
    }
    std::set<std::string> keys;
    for (const auto *object : {&a->get_object(), &b->get_object()}) {
        for (const auto &row : *object)
            keys.emplace(row.key());
    }
    for (const std::string &key : keys)
        diffValues(path.empty() ? key : path + "." + key, a->get_object().if_contains(key),
                   b->get_object().if_contains(key), rows);
}

class Runner
{
public:
    Runner(AdminClient &client, const CommandOptions &options)
        : m_client(client)
        , m_options(options)
    {}

    int configGet(Words)
    {
        const auto reply = m_client.call("GET", "config");
        if (!reply)
            return report(reply.error());
        std::cout << reply->text << '\n';
        if (isatty(STDERR_FILENO) != 0)
            std::cerr << "generation " << reply->entityTag << '\n';
        return exitOk;
    }

    int configPut(Words words)
    {
        const auto text = readFile(words[0]);
        if (!text)
            return report(text.error());
        const auto present = m_client.call("GET", "config");
        const bool absent = !present && present.error().kind == ErrorKind::NotFound;
        if (!present && !absent)
            return report(present.error());
        const std::string tag = absent ? "0" : present->entityTag;
        return finishChange(m_client.call("PUT", "config", *text, tag));
    }

    int configValidate(Words words)
    {
        const auto text = readFile(words[0]);
        if (!text)
            return report(text.error());
        const auto config = parseFleetConfig(*text, 0);
        if (config) {
            std::cout << "valid\n";
            return exitOk;
        }
        for (const DocumentFault &fault : config.error())
            std::cerr << words[0] << ": " << fault.path << ": " << fault.message << '\n';
        return errorAnswer(ErrorKind::InvalidConfig).exitCode;
    }

    int configDiff(Words words)
    {
        const auto text = readFile(words[0]);
        const auto present = m_client.call("GET", "config");
        if (!text || !present)
            return report(text ? present.error() : text.error());
        boost::system::error_code error;
        json::value wanted = json::parse(*text, error);
        if (error || !wanted.is_object())
            return report({ErrorKind::InvalidConfig, words[0] + " is not a JSON object"});
        json::value have = present->body;
        have.as_object().erase("changes");
        wanted.as_object().erase("changes");
        TableRows rows{{"PATH", "IN FORCE", "FILE"}};
        diffValues("", &have, &wanted, rows);
        if (rows.size() > 1)
            std::cout << formatTable(rows);
        return exitOk;
    }

    int check(Words words)
    {
        const auto text = readFile(words[0]);
        if (!text)
            return report(text.error());
        const ConfigCheckOptions options{m_options.against, m_options.store, m_options.json};
        std::size_t findings = 0;
        const auto checked = checkConfigText(*text, options, findings);
        if (!checked)
            return report({checked.error().kind, words[0] + ": " + checked.error().message});
        std::cout << *checked;
        return findings == 0 ? exitOk : errorAnswer(ErrorKind::InvalidConfig).exitCode;
    }

    int presetList(Words)
    {
        const auto reply = m_client.call("GET", "config");
        if (!reply)
            return report(reply.error());
        const auto config = parseFleetConfig(reply->text, 0);
        if (!config)
            return report({ErrorKind::InvalidConfig, toString(config.error())});
        TableRows rows{{"PRESET", "IN FORCE"}};
        json::array names;
        for (const auto &[name, preset] : (*config)->presets) {
            const bool inForce = name == (*config)->presetInForce;
            rows.push_back({name, inForce ? "yes" : ""});
            names.emplace_back(json::object{{"name", name}, {"in_force", inForce}});
        }
        return print(names, rows);
    }

    int presetUse(Words words)
    {
        const json::object body{{"name", words[0]}};
        return finishChange(m_client.call("POST", "preset", json::serialize(body)));
    }

    int mark(Words words)
    {
        const json::object body{{"mark", words[1]}};
        return finishChange(
            m_client.call("POST", "upstreams/" + words[0] + "/mark", json::serialize(body)));
    }

    int status(Words)
    {
        const auto reply = m_client.call("GET", "status");
        if (!reply)
            return report(reply.error());
        TableRows rows{{"NAME", "ROLE", "GENERATION", "MARK", "UP", "QUEUED", "IN FLIGHT"}};
        for (const auto &item : reply->body.at("processes").as_array()) {
            const json::object &row = item.as_object();
            rows.push_back({member(row, "name"), member(row, "role"), member(row, "generation"),
                            member(row, "mark"), member(row, "up"), member(row, "queued"),
                            member(row, "in_flight")});
        }
        return print(reply->body, rows);
    }

    int quarantineList(Words)
    {
        const auto reply = m_client.call("GET", "quarantine");
        if (!reply)
            return report(reply.error());
        TableRows rows{{"FINGERPRINT", "STATE"}};
        for (const std::string_view state : {"suspect", "quarantined"}) {
            for (const auto &item : reply->body.at(state).as_array())
                rows.push_back({textOf(item), std::string(state)});
        }
        return print(reply->body, rows);
    }

    int quarantineRelease(Words words)
    {
        const auto reply = m_client.call("DELETE", "quarantine/" + words[0]);
        if (!reply)
            return report(reply.error());
        std::cout << "released " << words[0] << '\n';
        return exitOk;
    }

private:
    int print(const json::value &value, const TableRows &rows)
    {
        if (m_options.json)
            std::cout << json::serialize(value) << '\n';
        else
            std::cout << formatTable(rows);
        return exitOk;
    }

    int finishChange(const Result<AdminReply> &reply)
    {
        if (!reply)
            return report(reply.error());
        const auto generation = reply->body.at("generation").to_number<Generation>();
        if (m_options.wait) {
            if (const auto confirmed = waitForAll(generation); !confirmed)
                return report(confirmed.error());
        }
        const json::object body{{"generation", generation}, {"confirmed", m_options.wait}};
        return print(body, {{"GENERATION", "CONFIRMED"},
                            {std::to_string(generation), m_options.wait ? "yes" : "not waited"}});
    }

    /// Waits until every live process reports the generation or a newer one.
    Result<void> waitForAll(Generation generation)
    {
        using Clock = std::chrono::steady_clock;
        const auto deadline = Clock::now() + std::chrono::seconds(m_options.timeoutSeconds);
        const bool terminal = isatty(STDERR_FILENO) != 0;
        while (Clock::now() < deadline) {
            const auto reply = m_client.call("GET", "status");
            if (!reply)
                return tl::unexpected(reply.error());
            const auto &processes = reply->body.at("processes").as_array();
            const auto confirmed = std::ranges::count_if(processes, [=](const json::value &item) {
                return item.at("generation").to_number<Generation>() >= generation;
            });
            if (terminal)
                std::cerr << "\rconfirmed by " << confirmed << " of " << processes.size()
                          << " processes " << std::flush;
            if (confirmed == static_cast<std::ptrdiff_t>(processes.size())) {
                if (terminal)
                    std::cerr << '\n';
                return {};
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return failure(ErrorKind::Timeout, "accepted, but not yet confirmed by every process");
    }

    AdminClient &m_client;
    CommandOptions m_options;
};

/// A command: its fixed words, the number of its arguments and what it does.
struct Command
{
    std::vector<std::string> words;
    std::string arguments;
    std::size_t argumentCount = 0;
    int (Runner::*run)(Words) = nullptr;
    std::string help;
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {{"config", "get"}, "", 0, &Runner::configGet, "print the configuration"},
        {{"config", "put"}, "FILE", 1, &Runner::configPut, "replace the configuration"},
        {{"config", "diff"},
         "FILE",
         1,
         &Runner::configDiff,
         "compare a file with what is in force"},
        {{"config", "validate"}, "FILE", 1, &Runner::configValidate, "check a file locally"},
        {{"check"},
         "FILE",
         1,
         &Runner::check,
         "check a configuration of the role direct before it is sent; see --against"},
        {{"preset", "list"}, "", 0, &Runner::presetList, "list the presets"},
        {{"preset", "use"}, "NAME", 1, &Runner::presetUse, "put a preset in force"},
        {{"mark"}, "UPSTREAM stop|leave|none", 2, &Runner::mark, "mark an upstream"},
        {{"status"}, "", 0, &Runner::status, "show every known process"},
        {{"quarantine", "list"},
         "",
         0,
         &Runner::quarantineList,
         "list fingerprints under suspicion"},
        {{"quarantine", "release"},
         "FINGERPRINT",
         1,
         &Runner::quarantineRelease,
         "clear a fingerprint"},
    };
    return all;
}

bool matches(const Command &command, Words words)
{
    return words.size() == command.words.size() + command.argumentCount
           && std::ranges::equal(command.words, words.first(command.words.size()));
}

} // namespace

std::string commandHelp()
{
    TableRows rows;
    for (const Command &command : commands()) {
        std::string line = "  ";
        for (const std::string &word : command.words)
            line += word + " ";
        rows.push_back({line + command.arguments, command.help});
    }
    return formatTable(rows);
}

int runCommand(AdminClient &client, const CommandOptions &options, Words words)
{
    const auto found = std::ranges::find_if(
        commands(), [words](const Command &command) { return matches(command, words); });
    if (found == commands().end()) {
        std::cerr << "tamarackseamctl: unknown command; the commands are\n" << commandHelp();
        return errorAnswer(ErrorKind::BadRequest).exitCode;
    }
    Runner runner(client, options);
    return (runner.*found->run)(words.subspan(found->words.size()));
}

} // namespace tamarack::ctl
