#pragma once

// A model replica of the review's scripts, and the manifest of a deployment with such replicas.

#include "Lab.h"

namespace lab {

constexpr int modelSlots = 6;
constexpr int tokensPerPiece = 4;

/// A sound model replica that tells its load. It cuts off a response that stays unread for seconds.
class Model
{
public:
    struct Pace
    {
        std::size_t pieceBytes;
        milliseconds betweenPieces;
    };

    Model(std::string id, Pace pace, Record &record)
        : m_id(std::move(id))
        , m_pace(pace)
        , m_record(record)
        , m_listener([this](Socket &socket) { serve(socket); })
    {}

    json::object entry(std::string_view zone) const
    {
        return {{"service", "drafting-models"},
                {"address", "127.0.0.1:" + std::to_string(m_listener.port())},
                {"zone", zone},
                {"version", "v1"},
                {"slots", modelSlots},
                {"state", "ready"},
                {"warmupLeftMs", 0},
                {"sequence", 1},
                {"born", born}};
    }
    const std::string &id() const { return m_id; }
    int running() const { return m_running; }

private:
    void serve(Socket &socket)
    {
        const timeval unread{2, 0};
        ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &unread, sizeof unread);
        Reader reader(socket.get());
        while (const auto request = reader.request())
            if (!answer(socket, *request))
                return;
    }

    bool answer(const Socket &socket, const Request &request)
    {
        if (request.target == "/healthz")
            return socket.send("HTTP/1.1 200 OK\r\nReplica-Id: " + m_id + load()
                               + "Content-Length: 0\r\n\r\n");
        if (request.target == "/report") {
            const std::string report =
                R"({"stage":"colocated","sequence":1,"born":)" + std::to_string(born) + "}";
            return socket.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               "Content-Length: "
                               + std::to_string(report.size()) + "\r\n\r\n" + report);
        }
        const std::string head = "Request-Id: " + request.id();
        if (header(request.headers, "Expect-Replica") != m_id)
            return socket.send("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + head
                               + "\r\nContent-Length: 0\r\n\r\n");
        if (m_running >= modelSlots)
            return socket.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + head
                               + load() + "Content-Length: 0\r\n\r\n");
        ++m_running;
        const bool isWhole = stream(socket, request, head);
        --m_running;
        m_record.line("replica " + m_id + (isWhole ? " has run id=" : " stops id=") + request.id());
        return isWhole;
    }

    bool stream(const Socket &socket, const Request &request, const std::string &head)
    {
        m_record.line("replica " + m_id + " runs " + request.target + " id=" + request.id()
                      + " after=" + header(request.headers, "Last-Event-Id"));
        const std::string usage = header(request.headers, "Token-Usage");
        const int pieces = std::stoi(usage.substr(usage.find(',') + 1)) / tokensPerPiece;
        if (!socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + head + load()
                         + "Server-Signature: " + m_id
                         + ".1\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        const std::string after = header(request.headers, "Last-Event-Id");
        for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= pieces; ++i) {
            std::string piece = "id: " + std::to_string(i) + "\ndata: ";
            piece += std::string(m_pace.pieceBytes - piece.size() - 2, 'p') + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            if (!socket.send(size + piece + "\r\n"))
                return false;
            pause(m_pace.betweenPieces);
        }
        return socket.send("0\r\n\r\n");
    }

    std::string load() const
    {
        return "\r\nReplica-Load: " + std::to_string(m_running) + ",0," + std::to_string(modelSlots)
               + "\r\n";
    }

    static constexpr std::uint64_t born = 1'700'000'000'000;

    std::string m_id;
    Pace m_pace;
    Record &m_record;
    std::atomic<int> m_running{0};
    Listener m_listener;
};

/// One streaming route that may be resumed.
inline json::object streamingManifest(milliseconds timeout)
{
    json::object config = manifest(7, {tenant("t-one", "key-one")});
    json::object guide = route("guide", "/guide/", "streaming", "drafting-models", 2);
    guide["timeoutMs"] = timeout.count();
    guide["targetLatencyMs"] = 1000;
    guide["gapAimMs"] = 200;
    guide["resumeStreams"] = true;
    config["routes"] = json::array{guide};
    config["services"] = json::array{json::object{
        {"name", "drafting-models"},
        {"healthCheck", "/healthz"},
        {"maxConnections", 360},
        {"protocol", "h1"},
        {"tls", false},
        {"engine",
         json::object{{"slots", modelSlots}, {"kvTokens", 358550}, {"stride", tokensPerPiece}}}}};
    // The allowance is no matter here.
    config["tenants"] = json::array{
        json::object{{"name", "t-one"}, {"apiKeys", json::array{"key-one"}}, {"priority", 1}}};
    return config;
}

} // namespace lab
