#include "direct/RequestFlow.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "process/Timers.h"

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// Another entry may know the stream.
constexpr milliseconds unknownStreamRetryAfter{300};

} // namespace

StreamKey RequestFlow::streamKey(std::string_view requestId) const
{
    const std::string scope =
        fmt::format("{} {} {}", m_admitted.workspace, requestId, parts().target);
    return fingerprint(scope, parts().body);
}

asio::awaitable<void> RequestFlow::findOrigin()
{
    const TimePoint start = steadyNow();
    if (!m_facts.resumedRequest.empty())
        m_origin = co_await m_state.origins.find(streamKey(m_facts.resumedRequest),
                                                 m_state.peers.reachableNames(start));
    const bool certain = m_origin && m_state.upstreams.isCertain(*m_origin);
    const bool listIsCurrent = m_state.upstreamListAge.isCurrent(bootNow());
    m_state.metrics.add("tamarack_stream_resumptions_total",
                        !m_origin ? "origin=\"unknown\""
                                  : (certain ? "origin=\"known\"" : "origin=\"ambiguous\""));
    logEvent(LogLevel::Info, "stream_origin",
             {{"request", m_facts.id},
              {"resumes", m_facts.resumedRequest},
              {"resume_after", *m_facts.resumeAfter},
              {"known", m_origin.has_value()},
              {"certain", certain},
              {"list_current", listIsCurrent},
              {"upstream", m_origin ? m_origin->upstreamId : ""},
              {"version", m_origin ? m_origin->version : ""},
              {"took_ms", toMs(steadyNow() - start)}});
}

std::optional<Denial> RequestFlow::continuationDenial() const
{
    const bool isNew = !m_origin && !resumesStream();
    if (isNew)
        return std::nullopt;
    if (!m_origin || !m_state.upstreams.isCertain(*m_origin))
        return Denial{ErrorKind::StreamUnknown, unknownStreamRetryAfter};
    if (!m_state.upstreams.offersVersion(m_admitted.service, m_origin->version))
        return Denial{ErrorKind::VersionGone, {}};
    if (!m_state.rollouts.maySend(m_admitted.service, m_origin->version))
        return Denial{ErrorKind::VersionGone, {}};
    return std::nullopt;
}

} // namespace tamarack
