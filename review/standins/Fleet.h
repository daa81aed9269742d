#pragma once

#include "Net.h"
#include "Store.h"

#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Bounds of the sheet of bmfms-seam; only those that the deploy template names.
struct Bounds
{
    int revokeMs = 5000;
    int drainMs = 2000;
    int graceS = 8;
    int retrySlack = 54;
};

inline std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

/// A child that ends with the case.
inline pid_t forkChild(const std::function<void()> &run)
{
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child != 0)
        return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(2);
    run();
    _exit(0);
}

/// One entry host: the program of the deploy file with its own template.
class Entry
{
public:
    Entry(std::string name, const std::string &zone, unsigned short storePort,
          const std::string &folder, const Bounds &bounds = {})
        : m_name(std::move(name))
        , m_folder(folder)
        , m_front(freePort())
        , m_readiness(freePort())
        , m_admin(freePort())
        , m_peer(freePort())
    {
        std::ifstream file("deploy/settings.json");
        std::stringstream content;
        content << file.rdbuf();
        std::string text = content.str();
        const auto at = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
        const std::vector<std::pair<std::string, std::string>> fields{
            {"{{nodeName}}", m_name},
            {"{{zone}}", zone},
            {"{{listen.front}}", at(m_front)},
            {"{{listen.readiness}}", at(m_readiness)},
            {"{{ip}}:{{internalPortRange.1}}", at(m_admin)},
            {"{{ip}}:{{internalPortRange.0}}", at(m_peer)},
            {"{{platform.address}}", at(storePort)},
            {"{{bounds.revokeMs}}", std::to_string(bounds.revokeMs)},
            {"{{bounds.drainMs}}", std::to_string(bounds.drainMs)},
            {"{{bounds.graceS}}", std::to_string(bounds.graceS)},
            {"{{bounds.retryBudgetRatio}}", "0.2"},
            {"{{bounds.retryWindowS}}", "10"},
            {"{{bounds.retrySlack}}", std::to_string(bounds.retrySlack)},
            {"{{bounds.quotaWindowS}}", "8"}};
        for (const auto &[from, to] : fields)
            text = replaceAll(text, from, to);
        std::ofstream(settings()) << text;
    }

    void start()
    {
        m_process = forkChild([this] {
            const int log = open((m_folder + "/" + m_name + ".log").c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            const std::string option = "--settings=" + settings();
            setenv("TAMARACKSEAM_NODE_FILE", settings().c_str(), 1);
            execl("target/tamarackseamd", "target/tamarackseamd", option.c_str(), nullptr);
            _exit(127);
        });
        record("%s: started", m_name.c_str());
    }

    void signal(int number) const { kill(m_process, number); }
    /// Waits for the end of the process; true if it has ended.
    bool hasEnded() { return waitpid(m_process, nullptr, WNOHANG) != 0; }
    void end()
    {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }

    bool isReady() const
    {
        const int file = connectTo(m_readiness);
        if (file < 0)
            return false;
        setReadTimeout(file, 1000);
        Message answer;
        Reader reader(file);
        const bool ready =
            sendAll(file, "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            && reader.readHead(answer) && answer.status() == 200;
        close(file);
        return ready;
    }
    bool waitUntilReady(int ms) const
    {
        const auto until = Clock::now() + milliseconds(ms);
        while (Clock::now() < until) {
            if (isReady())
                return true;
            usleep(50'000);
        }
        record("%s: not ready", m_name.c_str());
        return false;
    }

    /// Resident memory in KB; 0 if the process has ended.
    long residentKb() const { return statusKb("VmRSS:"); }
    long peakKb() const { return statusKb("VmHWM:"); }

    const std::string &name() const { return m_name; }
    unsigned short front() const { return m_front; }

private:
    std::string settings() const { return m_folder + "/" + m_name + ".json"; }
    long statusKb(const char *field) const
    {
        std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
        std::string line;
        while (std::getline(file, line))
            if (line.starts_with(field))
                return atol(line.c_str() + strlen(field));
        return 0;
    }

    std::string m_name;
    std::string m_folder;
    unsigned short m_front;
    unsigned short m_readiness;
    unsigned short m_admin;
    unsigned short m_peer;
    pid_t m_process = 0;
};

/// What a requester sees of one request.
struct Outcome
{
    int status = 0;
    /// The answer came with its regular end.
    bool complete = false;
    /// Ids of the last event and number of events; for a stream.
    int lastEvent = 0;
    int events = 0;
    std::string body;
};

/// Resets the channel, as a path that fails does.
inline void breakChannel(int file)
{
    const linger atOnce{1, 0};
    setsockopt(file, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    shutdown(file, SHUT_RD);
}

/// Sends one request on a new channel and reads its answer to the end.
inline Outcome ask(unsigned short port, const std::string &first,
                   const std::vector<std::pair<std::string, std::string>> &headers,
                   const std::string &body, int timeoutMs, int closeAfterEvents = 0)
{
    Outcome outcome;
    const int file = connectTo(port);
    if (file < 0)
        return outcome;
    setReadTimeout(file, timeoutMs);
    std::string text = first + " HTTP/1.1\r\nHost: small.example\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Reader reader(file);
    Message answer;
    if (sendAll(file, text) && reader.readHead(answer)) {
        outcome.status = answer.status();
        outcome.complete = reader.readBody(answer, false, [&](std::string_view piece) {
            outcome.body.append(piece);
            if (closeAfterEvents > 0
                && outcome.body.find("id: " + std::to_string(closeAfterEvents))
                       != std::string::npos)
                breakChannel(file);
        });
    }
    close(file);
    for (auto at = outcome.body.find("id: "); at != std::string::npos;
         at = outcome.body.find("id: ", at + 1)) {
        outcome.lastEvent = atoi(outcome.body.c_str() + at + 4);
        ++outcome.events;
    }
    return outcome;
}

} // namespace review
