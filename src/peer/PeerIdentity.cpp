#include "peer/PeerIdentity.h"

#include "base/Hash.h"
#include "config/JsonObjectReader.h"

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr char separator = '\0';

std::string joined(std::string_view label, std::string_view first, std::string_view second)
{
    std::string text(label);
    text += separator;
    text += first;
    text += separator;
    text += second;
    return text;
}

} // namespace

std::string encodeIdentity(const PeerIdentity &identity)
{
    return json::serialize(json::object{{"name", identity.name},
                                        {"role", identity.role},
                                        {"dataCentre", identity.dataCentre},
                                        {"incarnation", hex64(identity.incarnation)},
                                        {"nonce", hex64(identity.nonce)}});
}

Result<PeerIdentity> decodeIdentity(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return failure(ErrorKind::PeerRejected, "identity is not JSON");
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    PeerIdentity identity;
    identity.name = reader.requiredString("name");
    identity.role = reader.requiredString("role");
    identity.dataCentre = reader.requiredString("dataCentre");
    const auto incarnation = parseHex64(reader.requiredString("incarnation"));
    const auto nonce = parseHex64(reader.requiredString("nonce"));
    reader.finish();
    if (!faults.empty() || !incarnation || !nonce)
        return failure(ErrorKind::PeerRejected, "identity is malformed: " + toString(faults));
    identity.incarnation = *incarnation;
    identity.nonce = *nonce;
    return identity;
}

std::string peerProof(std::string_view key, std::string_view own, std::string_view other)
{
    return hmacSha256(key, joined("proof", own, other));
}

FrameAuthenticator::FrameAuthenticator(std::string_view key, std::string_view sender,
                                       std::string_view receiver)
    : m_key(hmacSha256(key, joined("frames", sender, receiver)))
{}

std::string FrameAuthenticator::tag(std::uint64_t number, std::string_view payload) const
{
    std::string text = hex64(number);
    text += payload;
    return hmacSha256(m_key, text).substr(0, tagBytes);
}

std::string FrameAuthenticator::nextTag(std::string_view payload)
{
    return tag(m_next++, payload);
}

bool FrameAuthenticator::accept(std::string_view payload, std::string_view received)
{
    return equalConstantTime(tag(m_next++, payload), received);
}

} // namespace tamarack
