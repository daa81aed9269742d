#pragma once

#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>

namespace tamarack {

/// Writes log lines to standard output without ever blocking: lines wait in a bounded buffer,
/// and are dropped and counted while it is full.
class StdoutSink final : public spdlog::sinks::base_sink<std::mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    static constexpr std::size_t largestBuffer = 256 << 10;
    static constexpr std::size_t flushSize = 16 << 10;

    std::string m_pending;
    std::size_t m_dropped = 0;
};

} // namespace tamarack
