#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tamarack::standin {

/// What an upstream in trouble sends without end.
enum class EndlessPart : std::uint8_t {
    /// Bytes that are no answer, without a line's end.
    Garbage,
    /// Header lines of a head.
    Head,
    /// A body whose length is not told.
    Body,
    /// One event of a stream.
    Event,
    /// A body whose length is told, without the signature of an upstream.
    UnsignedBody,
    /// A body of chunks of some kilobytes.
    Chunks,
    /// The body of a failure.
    FailureBody,
    /// The body of a refusal.
    RefusalBody,
    /// The extension of a chunk.
    ChunkExtension,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The fields behind the last chunk.
    Trailer,
};

/// Answers every request with bytes that go on until the other side closes the connection.
class EndlessServer
{
public:
    EndlessServer(boost::asio::io_context &context, unsigned short port);

    std::atomic<EndlessPart> part{EndlessPart::Garbage};
    /// From one piece of 64 KB to the next; 0: as fast as the other side takes them.
    std::atomic<int> pieceIntervalMs{0};
    /// Bytes that were taken from it on the last connection.
    std::atomic<std::size_t> taken{0};
    /// The last connection was closed by the other side.
    std::atomic<bool> closed{false};

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace tamarack::standin
