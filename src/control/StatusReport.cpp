#include "control/StatusReport.h"

#include <map>

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

namespace {

json::object queuedReport(const EntryReport &report, const FleetConfigPtr &config)
{
    json::object queued;
    for (std::size_t tier = 0; tier < report.queuedByTier.size(); ++tier) {
        const bool named = config && tier < config->preset().tiers.size();
        const std::string name = named ? config->preset().tiers[tier].name : std::to_string(tier);
        queued[name] = report.queuedByTier[tier];
    }
    return queued;
}

json::object entryReport(const EntryReport &report, const FleetConfigPtr &config)
{
    return {{"name", report.name},
            {"role", "entry"},
            {"incarnation", hex64(report.incarnation)},
            {"generation", report.generation},
            {"queued", queuedReport(report, config)},
            {"in_flight", report.inFlight}};
}

json::object gateReport(const GateView &gate, const FleetConfigPtr &config)
{
    json::array targets;
    for (const auto &target : gate.heartbeat.targets)
        targets.emplace_back(target);
    return {{"name", gate.name},
            {"role", "upstream"},
            {"data_centre", gate.dataCentre},
            {"incarnation", hex64(gate.incarnation)},
            {"generation", gate.heartbeat.generation},
            {"mark", markName(config ? config->mark(gate.name) : Mark::None)},
            {"up", gate.heartbeat.engineUp},
            {"leaving", gate.heartbeat.leaving},
            {"targets", targets},
            {"in_flight", gate.heartbeat.inFlight},
            {"limit", gate.heartbeat.limit}};
}

json::array fingerprints(const QuarantineTable &table, FingerprintState state)
{
    json::array rows;
    for (const Fingerprint fingerprint : table.inState(state))
        rows.emplace_back(hex64(fingerprint));
    return rows;
}

} // namespace

json::value statusReport(const EntryCore &core)
{
    const EntryStatus status = core.status();
    const FleetConfigPtr &config = core.config();
    std::map<std::string, json::object> entries;
    json::array processes;
    for (const GateView &gate : status.gates) {
        processes.emplace_back(gateReport(gate, config));
        for (const EntryReport &entry : gate.heartbeat.entries) {
            if (!entry.name.empty())
                entries.insert_or_assign(entry.name, entryReport(entry, config));
        }
    }
    entries.insert_or_assign(status.report.name, entryReport(status.report, config));
    for (auto &[name, entry] : entries)
        processes.emplace_back(std::move(entry));
    return json::object{{"generation", status.report.generation},
                        {"preset", config ? config->presetInForce : ""},
                        {"shed_level", status.closedLevel},
                        {"processes", processes}};
}

json::value quarantineReport(const QuarantineTable &table)
{
    return json::object{{"suspect", fingerprints(table, FingerprintState::Suspect)},
                        {"quarantined", fingerprints(table, FingerprintState::Quarantined)}};
}

} // namespace tamarack
