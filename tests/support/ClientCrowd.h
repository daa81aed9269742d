#pragma once

#include "base/Time.h"

#include <cstddef>
#include <memory>
#include <string>

namespace tamarack::harness {

/// What each client of a crowd sends.
struct CrowdScript
{
    std::string beginning{};
    /// Sent again and again behind the beginning, until `repeats` are sent.
    std::string piece{};
    std::size_t repeats = 0;
    /// Takes the answers that come; otherwise none is read.
    bool reads = false;
    /// Between pieces.
    milliseconds pause{0};
};

/// Connections to one port that send a script and then stay open.
class ClientCrowd
{
public:
    ClientCrowd(unsigned short port, std::size_t clients, const CrowdScript &script);
    /// Closes the connections.
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Returns when each client has sent its script or was refused, or after `longest`.
    void waitUntilSent(milliseconds longest);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Sends the bytes over a new connection. Returns what has been received until it is closed, or
/// after `longest`.
std::string exchangeWithin(unsigned short port, const std::string &bytes, milliseconds longest);

} // namespace tamarack::harness
