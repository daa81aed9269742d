#include "direct/RequestFlow.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "base/Log.h"
#include "process/Timers.h"

#include <algorithm>
#include <ranges>

#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

/// Another entry may know the stream.
constexpr milliseconds unknownStreamRetryAfter{300};

std::string_view resumptionLabel(bool isKnown, bool certain)
{
    if (isKnown)
        return certain ? "origin=\"known\"" : "origin=\"ambiguous\"";
    return certain ? "origin=\"inferred\"" : "origin=\"unknown\"";
}

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
    const bool isKnown = m_origin.has_value();
    SoleVersion sole = soleVersion();
    if (!isKnown && sole.isCertain())
        sole = co_await checkedSoleVersion();
    if (!isKnown && sole.isCertain()) {
        m_origin = StreamOrigin{streamKey(m_facts.resumedRequest), "", 0, sole.version, false};
        m_isOriginInferred = true;
    }
    const bool certain = m_origin && m_state.upstreams.isCertain(*m_origin);
    const bool listIsCurrent = m_state.upstreamListAge.isCurrent(bootNow());
    m_state.metrics.add("tamarack_stream_resumptions_total", resumptionLabel(isKnown, certain));
    logEvent(LogLevel::Info, "stream_origin",
             {{"request", m_facts.id},
              {"resumes", m_facts.resumedRequest},
              {"resume_after", *m_facts.resumeAfter},
              {"known", isKnown},
              {"sole_version", sole.version},
              {"doubt", versionDoubtName(sole.doubt)},
              {"doubted_upstream", sole.upstreamId},
              {"certain", certain},
              {"list_current", listIsCurrent},
              {"upstream", m_origin ? m_origin->upstreamId : ""},
              {"version", m_origin ? m_origin->version : ""},
              {"took_ms", toMs(steadyNow() - start)}});
}

SoleVersion RequestFlow::soleVersion() const
{
    // The stream may have begun at any service of the route.
    const auto &services = m_admitted.route.services;
    SoleVersion sole = m_state.soleVersion(services.front().service);
    for (const auto &share : services | std::views::drop(1)) {
        if (!sole.isCertain())
            break;
        SoleVersion other = m_state.soleVersion(share.service);
        if (!other.isCertain())
            sole = std::move(other);
        else if (other.version != sole.version)
            sole = SoleVersion::inDoubt(VersionDoubt::ServicesDiffer);
    }
    return sole;
}

asio::awaitable<SoleVersion> RequestFlow::checkedSoleVersion()
{
    for (const auto &share : m_admitted.route.services) {
        const UpstreamPtr unasked = co_await m_state.checkRestarts(share.service);
        if (unasked)
            co_return SoleVersion::inDoubt(VersionDoubt::UnlistedProcess, Duration::zero(),
                                           unasked->record.id);
    }
    co_return soleVersion();
}

std::optional<Denial> RequestFlow::unknownStreamDenial() const
{
    const bool holds =
        m_origin && (!m_isOriginInferred || soleVersion().version == m_origin->version);
    if (holds && m_state.upstreams.isCertain(*m_origin))
        return std::nullopt;
    const Duration wait = m_origin ? Duration::zero() : soleVersion().wait;
    return Denial{ErrorKind::StreamUnknown, std::max<Duration>(unknownStreamRetryAfter, wait)};
}

std::optional<Denial> RequestFlow::continuationDenial() const
{
    const bool isNew = !m_origin && !resumesStream();
    if (isNew)
        return std::nullopt;
    if (const auto denial = unknownStreamDenial())
        return denial;
    if (!m_state.upstreams.offersVersion(m_admitted.service, m_origin->version))
        return Denial{ErrorKind::VersionGone, {}};
    if (!m_state.rollouts.maySend(m_admitted.service, m_origin->version))
        return Denial{ErrorKind::VersionGone, {}};
    return std::nullopt;
}

} // namespace tamarack
