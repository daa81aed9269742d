#include "base/Metrics.h"

#include <map>
#include <mutex>
#include <set>

#include <boost/histogram.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned latencyBins = 36;
constexpr double latencyMinSeconds = 1e-4;
constexpr double latencyMaxSeconds = 100;

auto makeLatencyHistogram()
{
    return bh::make_histogram(LogAxis(latencyBins, latencyMinSeconds, latencyMaxSeconds));
}

using LatencyHistogram = decltype(makeLatencyHistogram());

struct Latency
{
    LatencyHistogram histogram = makeLatencyHistogram();
    double sum = 0;
    std::uint64_t count = 0;
};

using SeriesKey = std::pair<std::string, std::string>;

std::string labelSet(std::string_view labels, std::string_view extra = "")
{
    if (labels.empty() && extra.empty())
        return "";
    const std::string_view comma = labels.empty() || extra.empty() ? "" : ",";
    return fmt::format("{{{}{}{}}}", labels, comma, extra);
}

void printLatency(std::string &text, const SeriesKey &key, const Latency &latency)
{
    const auto &[name, labels] = key;
    double cumulative = latency.histogram.at(-1);
    for (int i = 0; i < static_cast<int>(latencyBins); ++i) {
        cumulative += latency.histogram.at(i);
        const auto bound = fmt::format("le=\"{:.6g}\"", latency.histogram.axis().bin(i).upper());
        text += fmt::format("{}_bucket{} {}\n", name, labelSet(labels, bound), cumulative);
    }
    text += fmt::format("{}_bucket{} {}\n", name, labelSet(labels, "le=\"+Inf\""), latency.count);
    text += fmt::format("{}_sum{} {}\n", name, labelSet(labels), latency.sum);
    text += fmt::format("{}_count{} {}\n", name, labelSet(labels), latency.count);
}

} // namespace

struct Metrics::Private
{
    void printType(std::string &text, std::set<std::string> &seen, const std::string &name,
                   std::string_view type) const
    {
        if (seen.insert(name).second)
            text += fmt::format("# TYPE {} {}\n", name, type);
    }

    mutable std::mutex mutex;
    std::map<SeriesKey, std::uint64_t> counters;
    std::map<SeriesKey, double> gauges;
    std::map<SeriesKey, Latency> latencies;
};

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->counters[{std::string(name), std::string(labels)}] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, std::uint64_t value)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->counters[{std::string(name), std::string(labels)}] = value;
}

void Metrics::gauge(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, double seconds)
{
    const std::lock_guard lock(m_private->mutex);
    Latency &latency = m_private->latencies[{std::string(name), std::string(labels)}];
    latency.histogram(seconds);
    latency.sum += seconds;
    ++latency.count;
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_private->mutex);
    const auto found = m_private->counters.find({std::string(name), std::string(labels)});
    return found == m_private->counters.end() ? 0 : found->second;
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(m_private->mutex);
    std::string text;
    std::set<std::string> seen;
    for (const auto &[key, value] : m_private->counters) {
        m_private->printType(text, seen, key.first, "counter");
        text += fmt::format("{}{} {}\n", key.first, labelSet(key.second), value);
    }
    for (const auto &[key, value] : m_private->gauges) {
        m_private->printType(text, seen, key.first, "gauge");
        text += fmt::format("{}{} {}\n", key.first, labelSet(key.second), value);
    }
    for (const auto &[key, latency] : m_private->latencies) {
        m_private->printType(text, seen, key.first, "histogram");
        printLatency(text, key, latency);
    }
    return text;
}

} // namespace tamarack
