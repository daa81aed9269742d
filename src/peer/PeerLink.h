#pragma once

#include "base/Time.h"
#include "peer/Messages.h"
#include "peer/PeerIdentity.h"
#include "tamarackseam/Error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <string>

namespace tamarack {

/// An authenticated connection between an entry and a gate. Used on one executor only.
class PeerLink
{
public:
    /// Proves both ends to each other by the shared key, within `bound`.
    static boost::asio::awaitable<Result<std::shared_ptr<PeerLink>>>
    makeLink(boost::asio::ip::tcp::socket socket, PeerIdentity own, std::string key,
             Duration bound);

    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    const PeerIdentity &peer() const;

    /// Queues a message. The link closes itself when too many bytes wait.
    void send(const PeerMessage &message);

    /// The next messages, at least one. Fails once the link is closed or the peer misbehaves.
    boost::asio::awaitable<Result<std::vector<PeerMessage>>> receive();

    void close();
    std::uint64_t bytesSent() const;

private:
    struct Private;
    explicit PeerLink(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
