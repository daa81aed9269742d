#pragma once

#include "base/Time.h"
#include "serving/SlownessHistogram.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Load of a service at the moment at which a hedge is considered.
struct HedgeLoad
{
    /// Requests queued at all entries.
    std::size_t waiting = 0;
    int freePlaces = 0;
    int places = 0;
};

/// Why a slow request is not sent to a second upstream.
enum class HedgeDenial : std::uint8_t {
    /// Requests wait, were refused recently, or few places are free.
    Loaded,
    /// The share of sends that may be hedges is used up.
    ShareUsedUp,
};

/// Decides when a request that may be repeated is sent to a second upstream because its response is
/// slow.
///
/// Answers single slow responses at calm load: engines share their hosts with others, so that a few
/// percent of the responses take several times as long as their size, the engine's pace and its
/// backlog explain. A response counts as slow if it takes longer than predicted by more than all
/// but `share` of the recent ones. Sends nothing under load, where a hedge would delay other
/// requests.
class HedgePolicy
{
public:
    /// `share`: fraction of a service's sends that may be hedges; 0: none.
    explicit HedgePolicy(double share)
        : m_share(share)
    {}

    bool isEnabled() const { return m_share > 0; }

    /// Records the first send of a request, which earns the service its share of a hedge.
    void countSend(std::string_view service);
    /// Records a refusal for lack of capacity.
    void countRefusal(std::string_view service, TimePoint now);
    /// Records a measured time to the first token, or to the complete response.
    void recordFirstToken(std::string_view service, Duration predicted, Duration took);

    /// Time after the send at which a request counts as slow; none while too few responses were
    /// measured.
    std::optional<Duration> delay(std::string_view service, Duration predicted) const;

    /// Whether a request that counts as slow may be sent to a second upstream now; spends the
    /// share if it may. None: it may.
    std::optional<HedgeDenial> tryHedge(std::string_view service, const HedgeLoad &load,
                                        TimePoint now);
    /// Records that the first upstream of a hedged request lost: it took longer than the delay.
    void recordSlow(std::string_view service, Duration predicted, Duration atLeast);
    /// Returns the share of a hedge that was not sent.
    void release(std::string_view service);

private:
    struct ServiceState
    {
        SlownessHistogram slowness;
        double tokens = 0;
        TimePoint refusedAt{};
    };

    ServiceState &stateOf(std::string_view service);

    double m_share;
    std::map<std::string, ServiceState, std::less<>> m_services;
};

} // namespace tamarack
