#pragma once

#include "base/RequestId.h"
#include "tamarackseam/Error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// What a process tells of itself when a peer link opens. `nonce` is fresh for every link.
struct PeerIdentity
{
    std::string name;
    /// "entry" or "upstream".
    std::string role;
    std::string dataCentre;
    Incarnation incarnation = 0;
    std::uint64_t nonce = 0;

    bool operator==(const PeerIdentity &) const = default;
};

std::string encodeIdentity(const PeerIdentity &identity);
/// Parses untrusted text.
Result<PeerIdentity> decodeIdentity(std::string_view text);

/// Proof that the sender of `own` knows the key and has seen `other`.
std::string peerProof(std::string_view key, std::string_view own, std::string_view other);

/// Authenticates the frames of one direction of a link: each frame's tag covers its number,
/// so frames cannot be replayed, dropped or reordered unnoticed.
class FrameAuthenticator
{
public:
    /// `sender` and `receiver` are the encoded identities.
    FrameAuthenticator(std::string_view key, std::string_view sender, std::string_view receiver);

    std::string nextTag(std::string_view payload);
    bool accept(std::string_view payload, std::string_view tag);

    static constexpr std::size_t tagBytes = 16;

private:
    std::string tag(std::uint64_t number, std::string_view payload) const;

    std::string m_key;
    std::uint64_t m_next = 0;
};

} // namespace tamarack
