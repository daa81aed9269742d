#include "base/StdoutSink.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace tamarack {

namespace {

bool writable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

void StdoutSink::sink_it_(const spdlog::details::log_msg &message)
{
    if (m_pending.size() > largestBuffer) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0) {
        m_pending += fmt::format("event=log_lines_dropped count={}\n", m_dropped);
        m_dropped = 0;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_pending.append(line.data(), line.size());
    if (m_pending.size() > flushSize)
        flush_();
}

void StdoutSink::flush_()
{
    std::size_t written = 0;
    // A pipe that polls as writable takes this much without blocking.
    constexpr std::size_t piece = PIPE_BUF;
    while (written < m_pending.size() && writable(STDOUT_FILENO)) {
        const std::size_t size = std::min(piece, m_pending.size() - written);
        const ssize_t taken = ::write(STDOUT_FILENO, m_pending.data() + written, size);
        if (taken <= 0)
            break;
        written += static_cast<std::size_t>(taken);
    }
    m_pending.erase(0, written);
}

} // namespace tamarack
