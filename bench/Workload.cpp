#include "Workload.h"

#include "config/JsonObjectReader.h"
#include "model/EngineModel.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack::bench {

namespace json = boost::json;

namespace {

constexpr std::uint32_t longestPrompt = 12'000;
constexpr std::uint32_t longestOutput = 1'000;
/// Part of a prompt that requests with the same prefix share.
constexpr double sharedPart = 0.5;
constexpr double lateShare = 0.05;
constexpr int settleRequests = 300;
constexpr int measuredRequests = 1500;

std::uint32_t length(std::mt19937_64 &random, double median, double spread, std::uint32_t bound)
{
    std::lognormal_distribution<double> distribution(std::log(median), spread);
    return std::clamp(static_cast<std::uint32_t>(distribution(random)), 1U, bound);
}

template <typename Rows>
const auto &pick(std::mt19937_64 &random, const Rows &rows)
{
    double at = std::uniform_real_distribution<double>(0, 1)(random);
    for (const auto &row : rows) {
        at -= row.share;
        if (at <= 0)
            return row;
    }
    return rows.back();
}

Arrival makeArrival(const Workload &workload, std::mt19937_64 &random)
{
    const WorkloadClass &kind = pick(random, workload.classes);
    Arrival arrival;
    arrival.entry = static_cast<int>(random() % static_cast<unsigned>(workload.entries));
    arrival.tier = kind.tier;
    arrival.workspace = pick(random, workload.workspaces).name;
    arrival.promptTokens = length(random, kind.promptTokens, kind.spread, longestPrompt);
    arrival.outputTokens = length(random, kind.outputTokens, kind.spread, longestOutput);
    const auto number = random() % static_cast<unsigned>(kind.prefixes);
    arrival.prefix = (static_cast<std::uint64_t>(kind.tier) << 32) + number + 1;
    arrival.prefixTokens = static_cast<std::uint32_t>(kind.promptTokens * sharedPart);
    arrival.prefixTokens = std::min(arrival.prefixTokens, arrival.promptTokens / 2);
    return arrival;
}

/// Serves the mix with `kept` requests always running on one engine.
double closedLoopRate(const Workload &workload, int generation, int kept, Duration target,
                      std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    standin::EngineModel engine(standin::engineSpeed(generation));
    std::map<RequestId, Duration> lastToken;
    std::uint64_t next = 0;
    const auto add = [&] {
        const Arrival arrival = makeArrival(workload, random);
        engine.submit({{1, ++next},
                       arrival.promptTokens,
                       arrival.outputTokens,
                       arrival.prefix,
                       arrival.prefixTokens});
    };
    for (int i = 0; i < kept; ++i)
        add();
    Duration now{};
    Duration start{};
    int done = 0;
    std::uint64_t gaps = 0;
    std::uint64_t late = 0;
    while (done < settleRequests + measuredRequests) {
        now += engine.beginStep();
        for (const standin::EngineToken &token : engine.finishStep()) {
            const auto last = lastToken.find(token.id);
            if (last != lastToken.end() && done >= settleRequests) {
                ++gaps;
                late += now - last->second > target;
            }
            lastToken[token.id] = now;
            if (!token.last)
                continue;
            lastToken.erase(token.id);
            add();
            if (++done == settleRequests)
                start = now;
        }
    }
    if (static_cast<double>(late) > lateShare * static_cast<double>(gaps))
        return 0;
    return measuredRequests / std::chrono::duration<double>(now - start).count();
}

WorkloadClass readClass(const json::value &value, const std::string &path,
                        std::vector<DocumentFault> &faults)
{
    JsonObjectReader reader(value, path, faults);
    WorkloadClass kind;
    kind.name = reader.requiredString("name");
    kind.tier = static_cast<TierRank>(reader.requiredInteger("tier", {0, 15}));
    kind.share = reader.number("share", 0, 0, 1);
    kind.promptTokens = reader.number("promptTokens", 1, 1, longestPrompt);
    kind.outputTokens = reader.number("outputTokens", 1, 1, longestOutput);
    kind.spread = reader.number("spread", 0, 0, 3);
    kind.prefixes = static_cast<int>(reader.integer("prefixes", 1, {1, 1'000'000}));
    reader.finish();
    return kind;
}

} // namespace

Result<Workload> loadWorkload(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    boost::system::error_code error;
    const json::value document = json::parse(text.str(), error);
    if (!file || error)
        return failure(ErrorKind::BadRequest, "cannot read workload " + path);
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    Workload workload;
    workload.name = reader.requiredString("name");
    workload.entries = static_cast<int>(reader.requiredInteger("entries", {1, 100}));
    if (const auto *engines = reader.array("engines"))
        for (const auto &engine : *engines)
            workload.engines.push_back(engine.to_number<int>());
    if (const auto *workspaces = reader.array("workspaces"))
        for (const auto &item : *workspaces) {
            JsonObjectReader row(item, "workspaces", faults);
            workload.workspaces.push_back(
                {row.requiredString("name"), row.number("share", 0, 0, 1)});
            row.finish();
        }
    if (const auto *classes = reader.array("classes"))
        for (const auto &item : *classes)
            workload.classes.push_back(readClass(item, "classes", faults));
    reader.finish();
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, path + ": " + toString(faults));
    return workload;
}

std::vector<Arrival> makeArrivals(const Workload &workload, const std::vector<LoadPhase> &phases,
                                  std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    Duration start{};
    for (const LoadPhase &phase : phases) {
        std::exponential_distribution<double> gap(phase.requestsPerSecond);
        double at = gap(random);
        const double length = std::chrono::duration<double>(phase.length).count();
        for (; at < length; at += gap(random)) {
            Arrival arrival = makeArrival(workload, random);
            arrival.at =
                start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
            arrivals.push_back(std::move(arrival));
        }
        start += phase.length;
    }
    return arrivals;
}

double capacityOf(const Workload &workload, Duration betweenTokensTarget, std::uint64_t seed)
{
    std::map<int, double> best;
    for (const int generation : workload.engines) {
        if (best.contains(generation))
            continue;
        double highest = 0;
        for (int kept = 1; kept <= 160; kept += kept < 20 ? 1 : 4)
            highest = std::max(
                highest, closedLoopRate(workload, generation, kept, betweenTokensTarget, seed));
        best[generation] = highest;
    }
    double total = 0;
    for (const int generation : workload.engines)
        total += best[generation];
    return total;
}

} // namespace tamarack::bench
