#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinmoor {

/// The SHA-256 of a text, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// HMAC-SHA-256 in lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view key, std::string_view text);

/// Compares two strings in a time that depends only on their lengths.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// A fast 64-bit hash that is the same in every process and release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// A random 128-bit identifier as 32 hexadecimal digits, unique in practice.
std::string RandomId();

}  // namespace catkinmoor
