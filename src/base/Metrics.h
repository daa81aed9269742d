#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

/// Counters, gauges and histograms of one process, printed in Prometheus text form.
/// Thread-safe. `labels` is the inner text of a label set, for example `tier="live"`.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(std::string_view name, std::string_view labels, std::uint64_t amount = 1);
    /// Replaces the value of a counter that is kept elsewhere.
    void set(std::string_view name, std::string_view labels, std::uint64_t value);
    void gauge(std::string_view name, std::string_view labels, double value);
    /// Records a latency in seconds.
    void observe(std::string_view name, std::string_view labels, double seconds);
    std::uint64_t counter(std::string_view name, std::string_view labels) const;
    std::string prometheusText() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace tamarack
