#pragma once

#include "config/Settings.h"
#include "direct/DirectProcess.h"
#include "process/Contexts.h"

#include <optional>
#include <string>
#include <thread>

namespace tamarack::harness {

/// Runs a direct entry on loopback in its own thread.
class DirectEntry
{
public:
    DirectEntry();
    ~DirectEntry();
    DirectEntry(const DirectEntry &) = delete;
    DirectEntry &operator=(const DirectEntry &) = delete;

    /// Settings with unused ports and short timeouts.
    static Settings makeSettings(const std::string &name, const std::string &dataCentre,
                                 unsigned short storePort);
    void start(const Settings &settings);
    /// Starts with new ports if another program has taken one of them since it was found unused.
    /// `rollouts`: bounds of roll-outs, whose orders are not read otherwise.
    void startOnUnusedPorts(const std::string &name, const std::string &dataCentre,
                            unsigned short storePort,
                            std::optional<RolloutBounds> rollouts = std::nullopt);
    void stop();
    /// Begins a graceful stop; the process goes on until `stop`.
    void drain();
    /// Lets the process stand still for a while.
    void freeze(milliseconds duration);
    /// HTTP status of the readiness check; 0 if there was no response.
    int readiness() const;

    unsigned short callerPort() const { return m_settings.caller.endpoint.port; }
    unsigned short readinessPort() const { return m_settings.direct.readiness.endpoint.port; }

private:
    Result<void> tryStart(const Settings &settings);

    Settings m_settings;
    // Never destroyed: the contexts own coroutines that refer to the process.
    Contexts *m_contexts = nullptr;
    DirectProcess *m_process = nullptr;
    std::jthread m_thread;
};

/// Sends the bytes over a new connection and returns everything received until it is closed.
std::string exchangeBytes(unsigned short port, const std::string &bytes);

/// HTTP status of a response; 0 if it is empty.
int responseStatus(const std::string &answer);

} // namespace tamarack::harness
