#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>
#include <vector>

/// Sockets, HTTP/1.1 messages and the record of a case. Loopback only.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point &caseStart()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline long msSinceStart()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - caseStart()).count();
}

inline int &recordFile()
{
    static int file = -1;
    return file;
}

inline void openRecord(const std::string &path)
{
    caseStart();
    setvbuf(stdout, nullptr, _IONBF, 0);
    recordFile() = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
}

/// Appends one line, whole even when several processes write.
__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    char text[1024];
    const int prefix = snprintf(text, sizeof text, "%7ld ms  ", msSinceStart());
    va_list arguments;
    va_start(arguments, format);
    const int size = vsnprintf(text + prefix, sizeof text - prefix - 1, format, arguments);
    va_end(arguments);
    const int length = std::min<int>(prefix + size, sizeof text - 2);
    text[length] = '\n';
    if (write(recordFile(), text, length + 1) < 0)
        abort();
}

inline sockaddr_in loopback(unsigned short port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A listening socket; port 0 chooses a free one. Returns -1 if the port is taken.
inline int listenOn(unsigned short port, int type = SOCK_STREAM)
{
    const int file = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(file, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || (type == SOCK_STREAM && listen(file, 256) != 0)) {
        close(file);
        return -1;
    }
    return file;
}

inline unsigned short portOf(int file)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(file, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// A port that is free for streams and for datagrams.
inline unsigned short freePort()
{
    while (true) {
        const int stream = listenOn(0);
        const unsigned short port = portOf(stream);
        const int datagrams = listenOn(port, SOCK_DGRAM);
        close(stream);
        if (datagrams >= 0) {
            close(datagrams);
            return port;
        }
    }
}

inline int connectTo(unsigned short port)
{
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(file, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(file);
        return -1;
    }
    const int on = 1;
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return file;
}

inline void setReadTimeout(int file, int ms)
{
    const timeval limit{ms / 1000, (ms % 1000) * 1000};
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

inline bool sendAll(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

struct Message
{
    /// The request line or the status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers)
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        return "";
    }
    int status() const { return first.size() > 12 ? atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

/// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(int file)
        : m_file(file)
    {}

    /// Reads the head of the next message; false at the end of the connection.
    bool readHead(Message &message)
    {
        message = {};
        std::string line;
        if (!readLine(message.first))
            return false;
        while (readLine(line) && !line.empty()) {
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
        }
        return true;
    }

    using Pieces = std::function<void(std::string_view)>;

    /// Reads the body; returns whether it is complete.
    bool readBody(const Message &message, bool isRequest, const Pieces &onPiece)
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(onPiece);
        const std::string length = message.header("Content-Length");
        if (!length.empty())
            return readBytes(strtoul(length.c_str(), nullptr, 10), onPiece);
        if (isRequest)
            return true;
        while (fill())
            onPiece(std::exchange(m_buffer, {}));
        return true;
    }

    bool readRequest(Message &message)
    {
        return readHead(message) && readBody(message, true, [&](std::string_view piece) {
                   message.body.append(piece);
               });
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t got = recv(m_file, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    bool readLine(std::string &line)
    {
        auto end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!fill())
                return false;
            end = m_buffer.find("\r\n");
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::size_t size, const Pieces &onPiece)
    {
        while (size > 0) {
            if (m_buffer.empty() && !fill())
                return false;
            const std::size_t part = std::min(size, m_buffer.size());
            onPiece(std::string_view(m_buffer).substr(0, part));
            m_buffer.erase(0, part);
            size -= part;
        }
        return true;
    }

    bool readChunks(const Pieces &onPiece)
    {
        std::string line;
        while (readLine(line)) {
            const std::size_t size = strtoul(line.c_str(), nullptr, 16);
            if (!readBytes(size, onPiece) || !readLine(line))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }

    int m_file;
    std::string m_buffer;
};

} // namespace review
