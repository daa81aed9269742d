#include "base/AsioPch.h"
#include "base/Hash.h"
#include "config/FleetConfig.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <filesystem>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, dir, "", "directory for the settings and the plan");
ABSL_FLAG(int, entries, 2, "entry processes");
ABSL_FLAG(int, upstreams, 4, "engines, each with an upstream process");
ABSL_FLAG(int, services, 1, "plain services, each with an upstream process");
ABSL_FLAG(int, seed, 1, "seed of the stand-ins and the tokens");
ABSL_FLAG(bool, instant, false, "engines answer at once");
ABSL_FLAG(bool, links, false, "put a relay before each upstream process, for link faults");
ABSL_FLAG(int, generations, 2, "hardware generations among the engines, 1 to 3");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace fs = std::filesystem;
using namespace tamarack;

constexpr std::array<std::string_view, 3> dataCentres{"dc-a", "dc-b", "dc-c"};
constexpr std::array<std::string_view, 3> workspaceNames{"casework", "portal", "kitchen"};
constexpr std::string_view modelName = "drafting-models";

/// Hands out loopback addresses whose ports are free now.
class Ports
{
public:
    std::string next()
    {
        auto &acceptor = m_held.emplace_back(
            m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

private:
    asio::io_context m_context;
    std::deque<asio::ip::tcp::acceptor> m_held;
};

/// One process to start: its plan line and what is published of it.
struct Planned
{
    std::string name;
    std::string role;
    std::string command;
    json::object addresses;
};

std::string serviceName(int index)
{
    return index == 0 ? "booking-app" : "booking-app-" + std::to_string(index + 1);
}

class Plan
{
public:
    explicit Plan(fs::path dir)
        : m_dir(std::move(dir))
    {}

    void make()
    {
        m_store = m_ports.next();
        m_hosts = m_ports.next();
        m_seed = std::to_string(absl::GetFlag(FLAGS_seed));
        m_peerKey = sha256Hex("peer-key-" + m_seed);
        m_operator = "operator-" + sha256Hex("operator" + m_seed).substr(0, 16);
        add("objectapi", "object-api", "standin-objectapi --listen=" + m_store + seedFlag(),
            {{"control", m_store}});
        add("hostlist", "host-list",
            "standin-hostlist --lag_ms=1000 --listen=" + m_hosts + seedFlag(),
            {{"control", m_hosts}});
        for (int i = 0; i < absl::GetFlag(FLAGS_upstreams); ++i)
            addEngine(i);
        for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i)
            addService(i);
        for (int i = 0; i < absl::GetFlag(FLAGS_entries); ++i)
            addEntry(i);
        writePlan();
    }

private:
    std::string seedFlag() const { return " --seed=" + m_seed; }

    void add(std::string name, std::string role, std::string command, json::object addresses)
    {
        m_planned.push_back(
            {std::move(name), std::move(role), std::move(command), std::move(addresses)});
    }

    static std::string_view dataCentre(int index)
    {
        return dataCentres[static_cast<std::size_t>(index) % dataCentres.size()];
    }

    void addEngine(int index)
    {
        const std::string address = m_ports.next();
        const std::string name = "engine-" + std::to_string(index + 1);
        const int generations = std::clamp(absl::GetFlag(FLAGS_generations), 1, 3);
        const int generation = generations == 1 ? 2 : 1 + index % generations;
        std::string command = "standin-engine --models=" + std::string(modelName) + " --generation="
                              + std::to_string(generation) + " --listen=" + address
                              + " --seed=" + std::to_string(absl::GetFlag(FLAGS_seed) + index);
        if (index % 2 == 0)
            command += " --check_fencing";
        if (absl::GetFlag(FLAGS_instant))
            command += " --instant";
        add(name, "engine", command, {{"control", address}});
        addUpstream("up-" + name, index, "engine", address, modelName);
    }

    void addService(int index)
    {
        const std::string address = m_ports.next();
        add(serviceName(index), "service", "standin-service --listen=" + address + seedFlag(),
            {{"control", address}});
        addUpstream("up-" + serviceName(index), index, "service", address, serviceName(index));
    }

    void addUpstream(const std::string &name, int index, std::string_view kind,
                     const std::string &address, std::string_view target)
    {
        const std::string peer = m_ports.next();
        const std::string admin = m_ports.next();
        json::object settings = commonSettings(name, "upstream", index, admin);
        settings["peer"] = peer;
        settings["upstream"] = json::object{{"kind", kind},
                                            {"address", address},
                                            {"targets", json::array{target}},
                                            {"checksFencing", index % 2 == 0}};
        writeSettings(name, settings);
        m_seeds.emplace_back(json::object{{"name", name}, {"address", peer}});
        m_hostRows.emplace_back(
            json::object{{"name", name}, {"role", "upstream"}, {"peer", peer}, {"state", "live"}});
        add(name, "upstream", daemonCommand(name), {{"peer", peer}, {"admin", admin}});
    }

    /// Returns the address at which entries reach the upstream process through the relay.
    std::string addLink(const std::string &name, const std::string &peer)
    {
        const std::string listen = m_ports.next();
        const std::string control = m_ports.next();
        add("link-" + name, "link",
            "standin-link --listen=" + listen + " --target=" + peer + " --control=" + control,
            {{"control", control}});
        return listen;
    }

    void addEntry(int index)
    {
        const std::string name = "entry-" + std::to_string(index + 1);
        const std::string caller = m_ports.next();
        const std::string admin = m_ports.next();
        json::object settings = commonSettings(name, "entry", index, admin);
        settings["caller"] = json::object{{"address", caller}};
        settings["seeds"] = m_seeds;
        json::array workspaces;
        for (const std::string_view workspace : workspaceNames)
            workspaces.emplace_back(
                json::object{{"name", workspace}, {"tokenSha256", sha256Hex(token(workspace))}});
        settings["workspaces"] = workspaces;
        settings["operators"] =
            json::array{json::object{{"name", "operator"}, {"tokenSha256", sha256Hex(m_operator)}}};
        writeSettings(name, settings);
        add(name, "entry", daemonCommand(name), {{"caller", caller}, {"admin", admin}});
    }

    json::object commonSettings(const std::string &name, std::string_view role, int index,
                                const std::string &admin) const
    {
        const std::string log = (m_dir / (name + ".log")).string();
        return {{"role", role},
                {"name", name},
                {"dataCentre", dataCentre(index)},
                {"admin", json::object{{"address", admin}}},
                {"peerKey", m_peerKey},
                {"objectApi", m_store},
                {"hostList", m_hosts},
                {"log", json::object{{"level", "info"}, {"file", log}}}};
    }

    std::string daemonCommand(const std::string &name) const
    {
        return "tamarackseamd --settings=" + (m_dir / (name + ".json")).string();
    }

    std::string token(std::string_view workspace) const
    {
        return "token-" + sha256Hex(std::string(workspace) + m_seed).substr(0, 16);
    }

    void writeSettings(const std::string &name, const json::object &settings) const
    {
        std::ofstream(m_dir / (name + ".json")) << json::serialize(settings) << '\n';
    }

    static json::array tiers(int queueFactor)
    {
        json::array rows;
        const std::array<std::pair<std::string_view, int>, 4> names{
            {{"live", 400}, {"interactive", 400}, {"standard", 300}, {"batch", 200}}};
        int firstToken = 420;
        for (const auto &[name, limit] : names) {
            rows.emplace_back(json::object{{"name", name},
                                           {"queueLimit", limit * queueFactor},
                                           {"deadlineMs", 60'000},
                                           {"firstTokenMs", firstToken}});
            firstToken *= 3;
        }
        return rows;
    }

    static json::object fleetConfig()
    {
        json::object services;
        for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i)
            services[serviceName(i)] = json::object{
                {"routes", json::array{json::object{
                               {"method", "GET"}, {"path", "/"}, {"idempotent", true}}}}};
        json::object workspaces;
        for (const std::string_view workspace : workspaceNames)
            workspaces[workspace] = json::object{{"weight", workspace == "casework" ? 2 : 1}};
        return {
            {"presetInForce", "ordinary"},
            {"presets",
             json::object{{"ordinary", json::object{{"tiers", tiers(2)}, {"loadPermits", 2}}},
                          {"peak", json::object{{"tiers", tiers(1)}, {"loadPermits", 1}}},
                          {"maintenance", json::object{{"tiers", tiers(1)}, {"loadPermits", 4}}}}},
            {"workspaces", workspaces},
            {"models", json::array{modelName}},
            {"services", services},
            {"upstreams", json::object{}}};
    }

    json::object published() const
    {
        json::array processes;
        for (const Planned &planned : m_planned)
            processes.emplace_back(json::object{{"name", planned.name},
                                                {"role", planned.role},
                                                {"pid", "@" + planned.name + "@"},
                                                {"addresses", planned.addresses}});
        json::object workspaces;
        for (const std::string_view workspace : workspaceNames)
            workspaces[workspace] = token(workspace);
        json::array services;
        for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i)
            services.emplace_back(serviceName(i));
        return {{"processes", processes},
                {"tokens", json::object{{"workspaces", workspaces}, {"operator", m_operator}}},
                {"models", json::array{modelName}},
                {"services", services}};
    }

    void writePlan() const
    {
        std::ofstream plan(m_dir / "plan.txt");
        for (const Planned &planned : m_planned)
            plan << planned.name << '\t' << planned.role << '\t' << planned.command << '\n';
        std::ofstream(m_dir / "fleet.template.json") << json::serialize(published()) << '\n';
        std::ofstream(m_dir / "config.json") << json::serialize(fleetConfig()) << '\n';
        std::ofstream(m_dir / "hosts.json")
            << json::serialize(json::object{{"hosts", m_hostRows}}) << '\n';
    }

    fs::path m_dir;
    Ports m_ports;
    std::string m_store;
    std::string m_hosts;
    std::string m_seed;
    std::string m_peerKey;
    std::string m_operator;
    json::array m_seeds;
    json::array m_hostRows;
    std::vector<Planned> m_planned;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::string dir = absl::GetFlag(FLAGS_dir);
    if (dir.empty()) {
        std::cerr << "--dir is required\n";
        return 2;
    }
    Plan(fs::absolute(dir)).make();
    return 0;
}
