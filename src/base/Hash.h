#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// SHA-256 as 64 lower-case hex digits.
std::string sha256Hex(std::string_view data);

/// The first 8 bytes of SHA-256 over `scope`, a separator and `data`.
std::uint64_t fingerprint(std::string_view scope, std::string_view data);

/// HMAC-SHA256 as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

/// Compares in time independent of the contents.
bool equalConstantTime(std::string_view a, std::string_view b);

/// FNV-1a, for placement and affinity; not for untrusted equality.
std::uint64_t fnv1a(std::string_view data);

/// One well spread number from two, for placement.
std::uint64_t mixBits(std::uint64_t a, std::uint64_t b);

/// CRC-32C continued from `seed`; start with 0.
std::uint32_t crc32c(std::uint32_t seed, std::string_view data);

/// 64 random bits from the operating system; never 0.
std::uint64_t randomBits64();

} // namespace tamarack
