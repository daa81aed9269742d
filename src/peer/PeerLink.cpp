#include "peer/PeerLink.h"

#include "base/AsioPch.h"
#include "base/Hash.h"
#include "peer/Codec.h"

#include <array>
#include <optional>

#include <boost/endian/conversion.hpp>

namespace tamarack {

namespace asio = boost::asio;
using asio::use_awaitable;
using tcp = asio::ip::tcp;

namespace {

constexpr auto useTuple = asio::as_tuple(use_awaitable);
constexpr std::size_t headerBytes = 4;
constexpr std::size_t handshakeFrameBytes = 4 << 10;
constexpr std::size_t largestFrameBytes = 80 << 20;
constexpr std::size_t readBytes = 64 << 10;
constexpr std::size_t queuedBytesBound = 256 << 20;

std::string frame(std::string_view payload, std::string_view tag)
{
    std::string bytes(headerBytes, '\0');
    const auto size = static_cast<std::uint32_t>(payload.size() + tag.size());
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(bytes.data()), size);
    bytes += payload;
    bytes += tag;
    return bytes;
}

asio::awaitable<Result<std::string>> readFrame(tcp::socket &socket, std::size_t largest)
{
    std::array<unsigned char, headerBytes> header{};
    const auto [headerError, headerSize] =
        co_await asio::async_read(socket, asio::buffer(header), useTuple);
    if (headerError)
        co_return failure(ErrorKind::IoFailed, headerError.message());
    const auto size = boost::endian::load_little_u32(header.data());
    if (size > largest)
        co_return failure(ErrorKind::PeerRejected, "frame is too large");
    std::string payload(size, '\0');
    const auto [error, got] = co_await asio::async_read(socket, asio::buffer(payload), useTuple);
    if (error)
        co_return failure(ErrorKind::IoFailed, error.message());
    co_return payload;
}

asio::awaitable<Result<void>> writeFrame(tcp::socket &socket, std::string_view payload)
{
    const std::string bytes = frame(payload, "");
    const auto [error, size] = co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
    if (error)
        co_return failure(ErrorKind::IoFailed, error.message());
    co_return Result<void>();
}

} // namespace

struct PeerLink::Private : std::enable_shared_from_this<PeerLink::Private>
{
    Private(tcp::socket linkSocket, PeerIdentity identity)
        : socket(std::move(linkSocket))
        , own(std::move(identity))
    {}

    asio::awaitable<Result<void>> handshake(const std::string &key)
    {
        const std::string ownText = encodeIdentity(own);
        if (auto sent = co_await writeFrame(socket, ownText); !sent)
            co_return tl::unexpected(sent.error());
        const auto peerText = co_await readFrame(socket, handshakeFrameBytes);
        if (!peerText)
            co_return tl::unexpected(peerText.error());
        const std::string proof = peerProof(key, ownText, *peerText);
        if (auto sent = co_await writeFrame(socket, proof); !sent)
            co_return tl::unexpected(sent.error());
        const auto peerProofText = co_await readFrame(socket, handshakeFrameBytes);
        if (!peerProofText)
            co_return tl::unexpected(peerProofText.error());
        const bool reflected = *peerText == ownText;
        if (reflected || !equalConstantTime(*peerProofText, peerProof(key, *peerText, ownText)))
            co_return failure(ErrorKind::PeerRejected, "peer does not know the key");
        auto identity = decodeIdentity(*peerText);
        if (!identity)
            co_return tl::unexpected(identity.error());
        peer = std::move(*identity);
        outgoing.emplace(key, ownText, *peerText);
        incoming.emplace(key, *peerText, ownText);
        co_return Result<void>();
    }

    asio::awaitable<void> writeLoop()
    {
        const auto self = shared_from_this();
        while (!queue.empty() && !closed) {
            const std::string bytes = std::exchange(queue, {});
            const auto [error, size] =
                co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
            sentBytes += size;
            if (error)
                close();
        }
        writing = false;
    }

    /// Decodes the whole frames in `received`.
    Result<std::vector<PeerMessage>> takeMessages()
    {
        std::vector<PeerMessage> messages;
        std::size_t used = 0;
        while (received.size() - used >= headerBytes) {
            const auto *header = reinterpret_cast<const unsigned char *>(received.data() + used);
            const std::size_t size = boost::endian::load_little_u32(header);
            if (size > largestFrameBytes || size < FrameAuthenticator::tagBytes)
                return failure(ErrorKind::PeerRejected, "frame has a bad size");
            if (received.size() - used < headerBytes + size)
                break;
            const auto body = std::string_view(received).substr(used + headerBytes, size);
            const auto payload = body.substr(0, size - FrameAuthenticator::tagBytes);
            if (!incoming->accept(payload, body.substr(payload.size())))
                return failure(ErrorKind::PeerRejected, "frame is not authentic");
            auto message = decodePeerMessage(payload);
            if (!message)
                return tl::unexpected(message.error());
            messages.push_back(std::move(*message));
            used += headerBytes + size;
        }
        received.erase(0, used);
        return messages;
    }

    void close()
    {
        closed = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    PeerIdentity own;
    PeerIdentity peer;
    std::optional<FrameAuthenticator> outgoing;
    std::optional<FrameAuthenticator> incoming;
    std::string queue;
    std::string received;
    std::uint64_t sentBytes = 0;
    bool writing = false;
    bool closed = false;
};

PeerLink::PeerLink(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{}

PeerLink::~PeerLink()
{
    m_private->close();
}

asio::awaitable<Result<std::shared_ptr<PeerLink>>>
PeerLink::makeLink(tcp::socket socket, PeerIdentity own, std::string key, Duration bound)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto p = std::make_shared<Private>(std::move(socket), std::move(own));
    asio::steady_timer timer(p->socket.get_executor());
    timer.expires_after(bound);
    timer.async_wait([p](boost::system::error_code error) {
        if (!error)
            p->close();
    });
    auto done = co_await p->handshake(key);
    timer.cancel();
    if (!done)
        co_return tl::unexpected(done.error());
    co_return std::shared_ptr<PeerLink>(new PeerLink(std::move(p)));
}

const PeerIdentity &PeerLink::peer() const
{
    return m_private->peer;
}

void PeerLink::send(const PeerMessage &message)
{
    auto &p = *m_private;
    if (p.closed)
        return;
    const std::string payload = encodePeerMessage(message);
    p.queue += frame(payload, p.outgoing->nextTag(payload));
    if (p.queue.size() > queuedBytesBound)
        return p.close();
    if (p.writing)
        return;
    p.writing = true;
    asio::co_spawn(
        p.socket.get_executor(), [self = m_private] { return self->writeLoop(); }, asio::detached);
}

asio::awaitable<Result<std::vector<PeerMessage>>> PeerLink::receive()
{
    const auto p = m_private;
    while (true) {
        auto messages = p->takeMessages();
        if (!messages || !messages->empty())
            co_return messages;
        const std::size_t had = p->received.size();
        p->received.resize(had + readBytes);
        const auto [error, size] = co_await p->socket.async_read_some(
            asio::buffer(p->received.data() + had, readBytes), useTuple);
        p->received.resize(had + size);
        if (error)
            co_return failure(ErrorKind::IoFailed, error.message());
    }
}

void PeerLink::close()
{
    m_private->close();
}

std::uint64_t PeerLink::bytesSent() const
{
    return m_private->sentBytes;
}

} // namespace tamarack
