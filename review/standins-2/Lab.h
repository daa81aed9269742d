#pragma once

// Stand-ins for the review's scripts: the platform's store, replicas, clients and the settings of
// an entry. They follow the users' pages. Everything listens on loopback addresses.

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

namespace lab {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
/// The issue allows a script 120 s.
constexpr unsigned longestRunSeconds = 115;

inline void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Ends the case: it could not run. The entries end with this process.
[[noreturn]] inline void giveUp(const std::string &reason)
{
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::fflush(nullptr);
    std::_Exit(exitNotRun);
}

/// Whether the case is played with its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

/// What was sent, answered and run, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
        if (!m_file)
            giveUp("cannot write " + path);
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(since.count()) / 1000);
        m_file << time << text << '\n' << std::flush;
    }
    /// Also on standard output.
    void result(const std::string &text)
    {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string header(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers)
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    return "";
}

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string id() const { return header(headers, "Request-Id"); }
};

inline sockaddr_in addressOf(unsigned short port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A descriptor that is closed with its owner.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {}
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {}
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        return *this;
    }

    int get() const { return m_descriptor; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }
    /// Ends the connection without an orderly end.
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

private:
    int m_descriptor;
};

inline Socket listenOnLoopback(unsigned short &port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(port);
    socklen_t size = sizeof address;
    if (::bind(socket.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket.get(), 512) != 0
        || ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&address), &size) != 0)
        giveUp("cannot listen");
    port = ntohs(address.sin_port);
    return socket;
}

inline unsigned short freePort()
{
    unsigned short port = 0;
    const Socket socket = listenOnLoopback(port);
    return port;
}

inline Socket connectTo(unsigned short port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(port);
    if (::connect(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return Socket();
    const int on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// Reads HTTP/1.1 messages from a connection.
class Reader
{
public:
    explicit Reader(int descriptor)
        : m_descriptor(descriptor)
    {}

    std::optional<std::string> line()
    {
        std::size_t end = m_bytes.find('\n');
        while (end == std::string::npos) {
            if (!more())
                return std::nullopt;
            end = m_bytes.find('\n');
        }
        std::string text = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 1);
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        return text;
    }

    std::optional<std::string> take(std::size_t size)
    {
        while (m_bytes.size() < size)
            if (!more())
                return std::nullopt;
        std::string text = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return text;
    }

    std::optional<Headers> headers()
    {
        Headers headers;
        while (true) {
            const auto text = line();
            if (!text)
                return std::nullopt;
            if (text->empty())
                return headers;
            const std::size_t colon = text->find(':');
            const std::size_t value = text->find_first_not_of(' ', colon + 1);
            headers.emplace_back(text->substr(0, colon),
                                 value == std::string::npos ? "" : text->substr(value));
        }
    }

    /// The entries frame their requests with a length.
    std::optional<Request> request()
    {
        const auto first = line();
        if (!first)
            return std::nullopt;
        Request request;
        std::istringstream words(*first);
        words >> request.method >> request.target;
        auto fields = headers();
        if (!fields)
            return std::nullopt;
        request.headers = std::move(*fields);
        const std::string length = header(request.headers, "Content-Length");
        auto body = take(length.empty() ? 0 : std::stoul(length));
        if (!body)
            return std::nullopt;
        request.body = std::move(*body);
        return request;
    }

private:
    bool more()
    {
        char piece[16384];
        const ssize_t got = ::recv(m_descriptor, piece, sizeof piece, 0);
        if (got <= 0)
            return false;
        m_bytes.append(piece, static_cast<std::size_t>(got));
        return true;
    }

    int m_descriptor;
    std::string m_bytes;
};

/// Accepts connections and serves each on a thread of its own until this process ends.
class Listener
{
public:
    using Serve = std::function<void(Socket &)>;

    explicit Listener(Serve serve)
        : m_socket(listenOnLoopback(m_port))
        , m_serve(std::move(serve))
    {
        std::thread([this] { accept(); }).detach();
    }
    unsigned short port() const { return m_port; }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(m_socket.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, accepted] {
                Socket socket(accepted);
                m_serve(socket);
            }).detach();
        }
    }

    unsigned short m_port = 0;
    Socket m_socket;
    Serve m_serve;
};

/// The platform's store: objects by kind and name, one revision counter, listings and watches.
class Store
{
public:
    Store()
        : m_listener([this](Socket &socket) { serve(socket); })
    {}
    unsigned short port() const { return m_listener.port(); }

    /// Writes an object as the operator or a replica does; returns when it is acknowledged.
    void write(const std::string &kind, const std::string &name, json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        put(kind, name, std::move(spec));
    }

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        json::object event;
    };

    json::object put(const std::string &kind, const std::string &name, json::value spec)
    {
        ++m_revision;
        json::object &object = m_kinds[kind][name];
        std::uint64_t created = m_revision;
        if (!object.empty())
            created = object.at("metadata").at("createRevision").to_number<std::uint64_t>();
        object = {{"metadata", json::object{{"name", name},
                                            {"revision", m_revision},
                                            {"createRevision", created},
                                            {"finalizers", json::array{}},
                                            {"deleting", false}}},
                  {"spec", std::move(spec)},
                  {"status", nullptr}};
        m_changes.push_back(
            {m_revision, kind, json::object{{"deleted", false}, {"object", object}}});
        return object;
    }

    void serve(Socket &socket)
    {
        Reader reader(socket.get());
        while (const auto request = reader.request()) {
            const auto [status, body] = answer(*request);
            const std::string text = json::serialize(body);
            std::ostringstream response;
            response << "HTTP/1.1 " << status << " Status\r\nContent-Type: application/json\r\n"
                     << "Store-Era: 1\r\nContent-Length: " << text.size() << "\r\n\r\n"
                     << text;
            if (!socket.send(response.str()))
                return;
        }
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        if (mark == std::string::npos)
            return "";
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&'))
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
        return "";
    }

    std::pair<int, json::value> answer(const Request &request)
    {
        std::istringstream path(request.target.substr(0, request.target.find('?')));
        std::string root;
        std::string kind;
        std::string name;
        std::getline(path, root, '/');
        std::getline(path, root, '/');
        std::getline(path, kind, '/');
        std::getline(path, name, '/');
        const std::string from = query(request.target, "watch");
        if (!from.empty())
            return watch(kind, std::stoull(from), query(request.target, "waitMs"));
        const std::lock_guard lock(m_mutex);
        auto &objects = m_kinds[kind];
        if (request.method == "GET" && name.empty())
            return list(objects);
        if (request.method == "POST") {
            const json::value object = json::parse(request.body);
            name = object.at("metadata").at("name").as_string().c_str();
            if (objects.contains(name))
                return {409, objects.at(name)};
            return {201, put(kind, name, object.at("spec"))};
        }
        const auto found = objects.find(name);
        if (found == objects.end())
            return {404, json::object{}};
        if (request.method == "PUT")
            return {200, put(kind, name, json::parse(request.body).at("spec"))};
        const json::object object = found->second;
        if (request.method == "DELETE") {
            objects.erase(found);
            ++m_revision;
            m_changes.push_back(
                {m_revision, kind, json::object{{"deleted", true}, {"object", object}}});
        }
        return {200, object};
    }

    std::pair<int, json::value> list(const std::map<std::string, json::object> &objects) const
    {
        json::array entries;
        for (const auto &[name, object] : objects)
            entries.push_back(object);
        return {200, json::object{
                         {"entries", entries}, {"morePages", false}, {"currentRev", m_revision}}};
    }

    std::pair<int, json::value> watch(const std::string &kind, std::uint64_t from,
                                      const std::string &waitMs)
    {
        const auto end = Clock::now() + milliseconds(waitMs.empty() ? 0 : std::stol(waitMs));
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                json::array events;
                for (const Change &change : m_changes)
                    if (change.kind == kind && change.revision > from)
                        events.push_back(change.event);
                if (!events.empty() || Clock::now() >= end)
                    return {200, json::object{{"events", events}, {"currentRev", m_revision}}};
            }
            pause(milliseconds(4));
        }
    }

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, json::object>> m_kinds;
    std::vector<Change> m_changes;
    std::uint64_t m_revision = 100;
    Listener m_listener;
};

/// A sound plain replica that tells its load: serves `slots` requests at once, queues a few more,
/// refuses what is not for it, and records what it runs.
class Replica
{
public:
    struct Run
    {
        Request request;
        std::string replica;
    };

    Replica(std::string id, std::string service, milliseconds work, Record &record)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_work(work)
        , m_record(record)
        , m_listener([this](Socket &socket) { serve(socket); })
    {}

    const std::string &id() const { return m_id; }
    json::object entry(std::string_view zone) const
    {
        return {
            {"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_listener.port())},
            {"zone", zone},         {"version", "v1"},
            {"slots", slots},       {"state", "ready"},
            {"warmupLeftMs", 0},    {"sequence", 1},
            {"born", m_born}};
    }
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    static constexpr int slots = 6;

private:
    void serve(Socket &socket)
    {
        Reader reader(socket.get());
        while (const auto request = reader.request())
            if (!socket.send(answer(*request)))
                return;
    }

    std::string answer(const Request &request)
    {
        std::ostringstream text;
        if (request.target == "/healthz") {
            text << "HTTP/1.1 200 OK\r\nReplica-Id: " << m_id << load() << "Content-Length: 0\r\n"
                 << "\r\n";
            return text.str();
        }
        if (request.target == "/report") {
            const std::string report =
                R"({"stage":"colocated","sequence":1,"born":)" + std::to_string(m_born) + "}";
            text << "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                 << report.size() << "\r\n\r\n"
                 << report;
            return text.str();
        }
        if (header(request.headers, "Expect-Replica") != m_id) {
            text << "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: "
                 << request.id() << "\r\nContent-Length: 0\r\n\r\n";
            return text.str();
        }
        if (m_running + m_waiting >= slots + queue) {
            text << "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "
                 << request.id() << load() << "Content-Length: 0\r\n\r\n";
            return text.str();
        }
        run(request);
        const std::string body = "answer of " + m_id + " to " + request.id();
        text << "HTTP/1.1 200 OK\r\nRequest-Id: " << request.id() << load()
             << "Server-Signature: " << m_id << ".1." << body.size()
             << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
             << body;
        return text.str();
    }

    void run(const Request &request)
    {
        ++m_waiting;
        while (m_running >= slots)
            pause(milliseconds(1));
        ++m_running;
        --m_waiting;
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({request, m_id});
        }
        m_record.line("replica " + m_id + " runs " + request.method + " " + request.target + " id="
                      + request.id() + " body=" + std::to_string(request.body.size()) + " bytes");
        pause(m_work);
        --m_running;
    }

    std::string load() const
    {
        return "\r\nReplica-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting)
               + "," + std::to_string(slots) + "\r\n";
    }

    static constexpr int queue = 24;

    std::string m_id;
    std::string m_service;
    milliseconds m_work;
    Record &m_record;
    std::uint64_t m_born = 1'700'000'000'000;
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    Listener m_listener;
};

/// One entry process, started with the command of the deploy file on the filled-in template of its
/// settings, with the figures of a small site.
class Entry
{
public:
    Entry(const std::string &folder, std::string name, std::string zone, unsigned short store)
        : m_settings(folder + "/" + name + ".json")
        , m_log(folder + "/" + name + ".log")
    {
        const std::string front = "127.0.0.1:" + std::to_string(m_front);
        const std::map<std::string, std::string> values{
            {"nodeName", std::move(name)},
            {"zone", std::move(zone)},
            {"listen.front", front},
            {"listen.readiness", "127.0.0.1:" + std::to_string(m_readiness)},
            {"ip", "127.0.0.1"},
            {"internalPortRange.0", std::to_string(freePort())},
            {"internalPortRange.1", std::to_string(freePort())},
            {"platform.address", "127.0.0.1:" + std::to_string(store)},
            {"bounds.revokeMs", "5000"},
            {"bounds.drainMs", "2000"},
            {"bounds.graceS", "8"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryWindowS", "10"},
            {"bounds.retrySlack", "54"},
            {"bounds.quotaWindowS", "8"}};
        std::ofstream(m_settings) << filled(values);
        start();
    }
    ~Entry()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    unsigned short port() const { return m_front; }
    void kill()
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    pid_t pid() const { return m_pid; }
    /// Starts the process with the settings that it had. Call from the thread that made the entry.
    void restart() { start(); }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid > 0;
    }
    /// Whether the readiness check of the balancer succeeds.
    bool isReady() const
    {
        const Socket socket = connectTo(m_readiness);
        if (socket.get() < 0
            || !socket.send("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
            return false;
        Reader reader(socket.get());
        const auto status = reader.line();
        return status && status->starts_with("HTTP/1.1 200");
    }
    void waitUntilReady()
    {
        const auto end = Clock::now() + std::chrono::seconds(10);
        while (!isReady()) {
            if (Clock::now() > end || !isRunning())
                giveUp("an entry does not become ready");
            pause(milliseconds(50));
        }
    }

private:
    /// The part for sites with roll-outs is left out, as on a small site.
    static std::string filled(const std::map<std::string, std::string> &values)
    {
        std::ifstream file("deploy/settings.json");
        std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        const std::size_t begin = text.find("{{#bounds.exposeShare}}");
        const std::string last = "{{/bounds.exposeShare}}";
        const std::size_t end = text.find(last);
        if (begin == std::string::npos || end == std::string::npos)
            giveUp("the template of the settings has changed");
        text.erase(begin, end + last.size() - begin);
        for (const auto &[name, value] : values) {
            const std::string place = "{{" + name + "}}";
            for (auto at = text.find(place); at != std::string::npos; at = text.find(place))
                text.replace(at, place.size(), value);
        }
        if (text.find("{{") != std::string::npos)
            giveUp("the template of the settings has an unknown field");
        return text;
    }

    void start()
    {
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        const std::string option = "--settings=" + m_settings;
        m_pid = ::fork();
        if (m_pid < 0)
            giveUp("cannot start a process");
        if (m_pid > 0) {
            ::close(log);
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl("target/tamarackseamd", "target/tamarackseamd", option.c_str(), nullptr);
        std::_Exit(127);
    }

    std::string m_settings;
    std::string m_log;
    unsigned short m_front = freePort();
    unsigned short m_readiness = freePort();
    pid_t m_pid = -1;
};

/// What a client got for one request.
struct Answer
{
    /// 0: the channel ended, or the time was over, without a complete answer.
    int status = 0;
    Headers headers;
    std::string body;
    /// No complete answer came, though the channel was still open at the end of the time.
    bool isOpen = false;

    std::string text() const
    {
        if (status == 0)
            return isOpen ? "no answer, channel open" : "no answer, channel closed";
        return std::to_string(status);
    }
};

/// Reads one answer that has a length.
inline Answer readAnswer(const Socket &socket, milliseconds time)
{
    const timeval limit{time.count() / 1000, time.count() % 1000 * 1000};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    Reader reader(socket.get());
    Answer answer;
    errno = 0;
    const auto first = reader.line();
    auto headers = first ? reader.headers() : std::nullopt;
    std::optional<std::string> body;
    if (headers) {
        const std::string length = header(*headers, "Content-Length");
        body = reader.take(length.empty() ? 0 : std::stoul(length));
    }
    if (!body) {
        answer.isOpen = errno == EAGAIN;
        return answer;
    }
    answer.status = std::atoi(first->substr(first->find(' ') + 1).c_str());
    answer.headers = std::move(*headers);
    answer.body = std::move(*body);
    return answer;
}

/// A request of a client, with a length if it has a body.
inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, const std::string &fields,
                               const std::string &body)
{
    std::ostringstream text;
    text << method << " " << path << " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " << id
         << "\r\nDeadline-Ms: 3000\r\n"
         << fields;
    if (!body.empty())
        text << "Content-Length: " << body.size() << "\r\n";
    text << "\r\n" << body;
    return text.str();
}

/// Sends a request on a channel of its own and waits for the answer until the deadline.
inline Answer call(Record &record, const Entry &entry, const std::string &method,
                   const std::string &path, const std::string &id, const std::string &fields,
                   const std::string &body, milliseconds time = milliseconds(3200))
{
    const Socket socket = connectTo(entry.port());
    record.line("client sends " + method + " " + path + " id=" + id + " body="
                + std::to_string(body.size()) + " bytes to port " + std::to_string(entry.port()));
    Answer answer;
    if (socket.get() >= 0 && socket.send(requestText(method, path, id, fields, body)))
        answer = readAnswer(socket, time);
    record.line("client gets " + answer.text() + " for id=" + id
                + (header(answer.headers, "Server-Signature").empty() ? "" : " from a replica"));
    return answer;
}

inline json::object route(std::string_view name, std::string_view prefix, std::string_view kind,
                          std::string_view service, int attempts)
{
    return {{"name", name},       {"host", "app.example"}, {"pathPrefix", prefix},
            {"kind", kind},       {"timeoutMs", 3000},     {"targetLatencyMs", 300},
            {"priority", 2},      {"service", service},    {"maxAttempts", attempts},
            {"public", false},    {"sticky", false},       {"resumeStreams", false},
            {"gapAimMs", nullptr}};
}

inline json::object manifest(int version, json::array tenants)
{
    return {{"version", version},
            {"routes", json::array{route("book", "/book/", "non_idempotent", "booking-app", 1),
                                   route("look", "/look/", "idempotent", "booking-app", 2)}},
            {"services", json::array{json::object{{"name", "booking-app"},
                                                  {"healthCheck", "/healthz"},
                                                  {"maxConnections", 100},
                                                  {"protocol", "h1"},
                                                  {"tls", false}}}},
            {"limits", json::object{{"maxHeaderBytes", 16384},
                                    {"maxBodyBytes", 4194304},
                                    {"headerTimeoutMs", 3000},
                                    {"idleTimeoutMs", 15000}}},
            {"tenants", std::move(tenants)}};
}

inline json::object tenant(std::string_view name, std::string_view key)
{
    return {{"name", name},     {"apiKeys", json::array{key}}, {"priority", 1},
            {"unit", "tokens"}, {"plainTokens", 200},          {"ratePerS", 164236},
            {"burst", 164236}};
}

/// A small deployment: four entries in three zones before three replicas of a plain service.
class Deployment
{
public:
    Deployment(Record &record, const std::string &folder, milliseconds work)
    {
        const std::vector<std::string> zones{"bp-north", "bp-south", "godollo"};
        store.write("config", "main", manifest(7, {tenant("t-one", "key-one")}));
        for (std::size_t i = 0; i < zones.size(); ++i) {
            replicas.push_back(std::make_unique<Replica>("i-" + std::to_string(i + 1),
                                                         "booking-app", work, record));
            store.write("servers", replicas.back()->id(), replicas.back()->entry(zones[i]));
        }
        for (const std::string &zone : {zones[0], zones[0], zones[1], zones[2]})
            entries.push_back(std::make_unique<Entry>(
                folder, "edge-" + std::to_string(entries.size() + 1), zone, store.port()));
        for (const auto &entry : entries)
            entry->waitUntilReady();
        // The traffic of the site starts 10 s after the machines; the entries need less.
        pause(milliseconds(4000));
    }

    std::vector<Replica::Run> runs() const
    {
        std::vector<Replica::Run> all;
        for (const auto &replica : replicas)
            for (auto &run : replica->runs())
                all.push_back(std::move(run));
        return all;
    }

    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<Entry>> entries;
};

/// Runs a case in a temporary folder; `play` returns the exit code.
inline int runCase(int argc, char **argv,
                   const std::function<int(Record &, const std::string &)> &play)
{
    if (argc != 3)
        giveUp("usage: case RECORD FOLDER, in the repository");
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { std::_Exit(exitNotRun); });
    ::alarm(longestRunSeconds);
    Record record(argv[1]);
    record.line(hasTrouble() ? "with the disruption" : "without the disruption");
    const int code = play(record, argv[2]);
    record.line("exit " + std::to_string(code));
    std::fflush(nullptr);
    // The threads of the stand-ins end with the process.
    std::_Exit(code);
}

} // namespace lab
