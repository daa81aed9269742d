#pragma once

#include "config/Settings.h"
#include "direct/DirectProcess.h"
#include "process/Contexts.h"

#include <string>
#include <thread>

namespace tamarack::harness {

/// A direct entry on loopback, on a thread of its own.
class DirectEntry
{
public:
    DirectEntry();
    ~DirectEntry();
    DirectEntry(const DirectEntry &) = delete;
    DirectEntry &operator=(const DirectEntry &) = delete;

    /// Settings with free ports and short bounds.
    static Settings makeSettings(const std::string &name, const std::string &dataCentre,
                                 unsigned short storePort);
    void start(const Settings &settings);
    void stop();
    /// Status of the readiness check; 0: no answer.
    int readiness() const;

    unsigned short callerPort() const { return m_settings.caller.endpoint.port; }
    unsigned short readinessPort() const { return m_settings.direct.readiness.endpoint.port; }

private:
    Settings m_settings;
    // Both stay until the tests end: the contexts own coroutines that refer to the process.
    Contexts *m_contexts = nullptr;
    DirectProcess *m_process = nullptr;
    std::jthread m_thread;
};

/// Sends the bytes over a new connection and returns all that comes back.
std::string exchangeBytes(unsigned short port, const std::string &bytes);

/// Status of the answer; 0: there was none.
int answerStatus(const std::string &answer);

} // namespace tamarack::harness
