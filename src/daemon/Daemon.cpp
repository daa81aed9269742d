#include "daemon/Daemon.h"

#include "base/AsioPch.h"
#include "base/Log.h"
#include "config/Settings.h"
#include "direct/DirectProcess.h"
#include "entry/EntryProcess.h"
#include "process/Contexts.h"
#include "tamarackseam/Error.h"
#include "upstream/UpstreamProcess.h"

#include <cstdlib>
#include <iostream>

#include <spdlog/spdlog.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr int exitOk = 0;

void printFaults(const std::string &path, const std::vector<DocumentFault> &faults)
{
    for (const DocumentFault &fault : faults)
        std::cerr << path << ": " << fault.path << ": " << fault.message << '\n';
}

int settingsExitCode()
{
    return errorAnswer(ErrorKind::InvalidConfig).exitCode;
}

/// One running process of either role, with its signals.
template <typename Process>
class Runner
{
public:
    Runner(std::string path, Contexts &contexts)
        : m_path(std::move(path))
        , m_contexts(contexts)
        , m_signals(contexts.control(), SIGTERM, SIGINT, SIGHUP)
    {}

    int run(const Settings &settings)
    {
        auto process = Process::makeProcess(settings, m_contexts);
        if (!process) {
            std::cerr << process.error().message << '\n';
            return errorAnswer(process.error().kind).exitCode;
        }
        m_process = std::move(*process);
        waitForSignal();
        logEvent(LogLevel::Info, "started", {{"name", settings.name}});
        flushLater();
        m_contexts.run();
        logEvent(LogLevel::Info, "stopped", {{"name", settings.name}, {"clean", m_clean}});
        flushLog();
        return m_clean ? exitOk : errorAnswer(ErrorKind::Internal).exitCode;
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                stop();
            waitForSignal();
        });
    }

    void reload()
    {
        const auto settings = loadSettings(m_path);
        if (!settings) {
            logEvent(LogLevel::Error, "reload_refused", {{"faults", toString(settings.error())}});
            return;
        }
        m_process->reload(*settings);
        logEvent(LogLevel::Info, "reloaded", {});
    }

    void stop()
    {
        if (std::exchange(m_stopping, true))
            return;
        m_process->drain([this] {
            m_clean = true;
            finishLater();
        });
    }

    /// Writes what is buffered of the log, now and regularly.
    void flushLater()
    {
        constexpr std::chrono::milliseconds flushInterval{100};
        flushLog();
        m_logTimer.expires_after(flushInterval);
        m_logTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                flushLater();
        });
    }

    /// Lets the last answers leave their sockets before the threads end.
    void finishLater()
    {
        constexpr std::chrono::milliseconds flushTime{200};
        m_flush.expires_after(flushTime);
        m_flush.async_wait([this](boost::system::error_code) { m_contexts.stop(); });
    }

    std::string m_path;
    Contexts &m_contexts;
    asio::signal_set m_signals;
    asio::steady_timer m_flush{m_contexts.control()};
    asio::steady_timer m_logTimer{m_contexts.control()};
    std::unique_ptr<Process> m_process;
    bool m_stopping = false;
    bool m_clean = false;
};

template <typename Process>
int runAs(const std::string &path, const Settings &settings)
{
    Contexts contexts(settings.threads);
    auto runner = std::make_unique<Runner<Process>>(path, contexts);
    const int code = runner->run(settings);
    // The contexts own coroutines that own the process, which refers to the contexts: there is
    // no order in which to unwind them, and nothing left to be saved.
    spdlog::shutdown();
    std::_Exit(code);
}

} // namespace

int checkSettings(const std::string &settingsPath)
{
    const auto settings = loadSettings(settingsPath);
    if (settings)
        return exitOk;
    printFaults(settingsPath, settings.error());
    return settingsExitCode();
}

int runDaemon(const std::string &settingsPath)
{
    const auto settings = loadSettings(settingsPath);
    if (!settings) {
        printFaults(settingsPath, settings.error());
        return settingsExitCode();
    }
    openLog(settings->name, settings->logLevel, settings->logFile);
    if (settings->role == Role::Entry)
        return runAs<EntryProcess>(settingsPath, *settings);
    if (settings->role == Role::Direct)
        return runAs<DirectProcess>(settingsPath, *settings);
    return runAs<UpstreamProcess>(settingsPath, *settings);
}

} // namespace tamarack
