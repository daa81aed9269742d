#pragma once

#include "Fleet.h"

#include <atomic>
#include <thread>

namespace review {

/// Exit code of a case: the rule was broken, it held, or the case couldn't run.
enum Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// A replica in a process of its own, so that the case can kill it as an operator's platform would.
/// SIGUSR1 tells it that it leaves: from then on it says so in all its answers.
class Replica
{
public:
    /// Answers one request; returns whether the channel stays open.
    using Handler = std::function<bool(int file, const Message &request, const std::string &head)>;

    Replica(std::string id, std::string service, std::string version, Handler handler)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_version(std::move(version))
        , m_handler(std::move(handler))
        , m_born(now())
        , m_listener(listenOn(0))
        , m_port(portOf(m_listener))
    {}

    /// Call before the case starts threads.
    void start()
    {
        m_process = forkChild([this] { serve(); });
        close(m_listener);
    }

    /// Its entry in the store.
    json::value entry(const std::string &state = "ready") const
    {
        return json::object{
            {"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"zone", "z1"},         {"version", m_version},
            {"slots", 6},           {"state", state},
            {"warmupLeftMs", 0},    {"sequence", 1},
            {"born", m_born}};
    }
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    /// Starts again under its id, with another software version.
    void startAgain(const std::string &version)
    {
        m_version = version;
        m_born = now();
        m_listener = listenOn(m_port);
        if (m_listener < 0)
            _exit(NotRun);
        start();
    }
    /// Call before `start`. 0: never.
    void closeIdleAfter(int ms) { m_idleMs = ms; }
    void signal(int number) const { kill(m_process, number); }
    void end()
    {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    const std::string &id() const { return m_id; }
    const std::string &version() const { return m_version; }

private:
    static std::atomic<bool> &leaving()
    {
        static std::atomic<bool> flag{false};
        return flag;
    }

    static std::int64_t now()
    {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void serve()
    {
        constexpr int mostFiles = 1024;
        for (int file = 3; file < mostFiles; ++file)
            if (file != m_listener && file != recordFile())
                close(file);
        ::signal(SIGUSR1, [](int) { leaving() = true; });
        ::signal(SIGPIPE, SIG_IGN);
        while (true) {
            const int file = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0)
                continue;
            const int on = 1;
            setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, file] { serveChannel(file); }).detach();
        }
    }

    void serveChannel(int file)
    {
        if (m_idleMs > 0)
            setReadTimeout(file, m_idleMs);
        Reader reader(file);
        Message request;
        bool open = true;
        while (open && reader.readRequest(request))
            open = serveRequest(file, request);
        close(file);
    }

    bool serveRequest(int file, const Message &request)
    {
        const std::string own =
            "Replica-Id: " + m_id + "\r\n" + (leaving() ? "Server-Leaving: 1\r\n" : "");
        const std::string expected = request.header("Expect-Replica");
        if (!expected.empty() && expected != m_id)
            return sendAll(file, "HTTP/1.1 421 Misdirected Request\r\n" + own
                                     + "Content-Length: 0\r\n\r\n");
        if (request.target() == "/healthz")
            return sendAll(file, std::string("HTTP/1.1 ") + (leaving() ? "503" : "200") + " X\r\n"
                                     + own + "Content-Length: 0\r\n\r\n");
        record("%s runs %s (%s)", m_id.c_str(), request.header("Request-Id").c_str(),
               request.target().c_str());
        return m_handler(file, request,
                         own + "Request-Id: " + request.header("Request-Id")
                             + "\r\nServer-Signature: " + m_id + ".1\r\n");
    }

    std::string m_id;
    std::string m_service;
    std::string m_version;
    Handler m_handler;
    std::int64_t m_born;
    int m_listener;
    unsigned short m_port;
    int m_idleMs = 0;
    pid_t m_process = 0;
};

/// A replica's stream: `events` events, `pauseMs` apart, from the one after `Last-Event-Id`. It has
/// neither a length nor chunks if `framed` is false.
inline bool sendStream(int file, const Message &request, const std::string &head, int events,
                       int pauseMs, bool framed, const std::string &text = "piece")
{
    const int from = atoi(request.header("Last-Event-Id").c_str()) + 1;
    const std::string framing = framed ? "Transfer-Encoding: chunked" : "Connection: close";
    if (!sendAll(file, "HTTP/1.1 200 OK\r\n" + head + framing
                           + "\r\nContent-Type: text/event-stream\r\n\r\n"))
        return false;
    for (int id = from; id <= events; ++id) {
        const std::string event =
            "id: " + std::to_string(id) + "\ndata: " + text + " " + std::to_string(id) + "\n\n";
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!sendAll(file, framed ? size + event + "\r\n" : event))
            return false;
        if (id < events)
            usleep(pauseMs * 1000);
    }
    return framed && sendAll(file, "0\r\n\r\n");
}

inline bool hasTrouble()
{
    const char *trouble = getenv("TROUBLE");
    return !trouble || strcmp(trouble, "0") != 0;
}

} // namespace review
