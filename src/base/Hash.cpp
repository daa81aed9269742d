#include "base/Hash.h"

#include "base/RequestId.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace tamarack {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest sha256(std::string_view data)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return digest;
}

constexpr std::array<std::uint32_t, 256> makeCrcTable()
{
    constexpr std::uint32_t polynomial = 0x82F63B78;
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t i = 0; i < table.size(); ++i) {
        std::uint32_t value = i;
        for (int bit = 0; bit < 8; ++bit)
            value = (value & 1) ? (value >> 1) ^ polynomial : value >> 1;
        table[i] = value;
    }
    return table;
}

constexpr auto crcTable = makeCrcTable();

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::string text;
    for (const unsigned char byte : sha256(data)) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::uint64_t fingerprint(std::string_view scope, std::string_view data)
{
    std::string joined(scope);
    joined += '\0';
    joined += data;
    const Digest digest = sha256(joined);
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    Digest digest;
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &length);
    return {reinterpret_cast<const char *>(digest.data()), length};
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t fnv1a(std::string_view data)
{
    std::uint64_t value = 0xCBF29CE484222325ULL;
    for (const char c : data) {
        value ^= static_cast<unsigned char>(c);
        value *= 0x100000001B3ULL;
    }
    return value;
}

std::uint64_t mixBits(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
    x ^= x >> 32;
    x *= 0xD6E8FEB86659FD93ULL;
    x ^= x >> 32;
    x *= 0xD6E8FEB86659FD93ULL;
    return x ^ (x >> 32);
}

std::uint32_t crc32c(std::uint32_t seed, std::string_view data)
{
    std::uint32_t value = ~seed;
    for (const char c : data)
        value = crcTable[(value ^ static_cast<unsigned char>(c)) & 0xFF] ^ (value >> 8);
    return ~value;
}

std::uint64_t randomBits64()
{
    std::uint64_t value = 0;
    while (value == 0)
        RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value);
    return value;
}

} // namespace tamarack
