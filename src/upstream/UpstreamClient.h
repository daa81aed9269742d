#pragma once

#include "gate/GateCore.h"
#include "tamarackseam/Error.h"
#include "upstream/UpstreamEvents.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <span>
#include <vector>

#include "config/Settings.h"

namespace tamarack {

class Contexts;

/// What a health probe of the upstream found.
struct ProbeResult
{
    EngineHealth health = EngineHealth::Down;
    std::uint64_t boot = 0;
    std::vector<std::string> models;
};

/// Talks HTTP to the one engine or service of an upstream process. Answers are read on traffic
/// contexts; events are delivered on the control context, in order for each request.
class UpstreamClient
{
public:
    UpstreamClient(Contexts &contexts, UpstreamSettings settings, UpstreamEvents events);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    void start(gate::Start action);
    void resume(const gate::ResumeStream &action);
    void cancel(RequestId request);
    /// Stops or goes on reading an answer whose caller is slow.
    void setPaused(RequestId request, bool paused);

    boost::asio::awaitable<ProbeResult> probe();
    /// Streams that the engine runs already.
    boost::asio::awaitable<std::vector<RunningStream>> runningStreams();
    /// Orders the engine to serve `models`, fenced by `generation`. `VersionConflict` when the
    /// engine has seen a newer order.
    boost::asio::awaitable<Result<void>> order(Generation generation,
                                               std::vector<std::string> models);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
