#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinmoor {

/// The SHA-256 of a text, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// HMAC-SHA-256 in lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view key, std::string_view text);

/// Compares two strings in time that depends on their lengths only.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// A fast 64-bit hash that is the same in every process and release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// A random identifier of 128 bits, as 32 hexadecimal digits, never repeated in practice.
std::string RandomId();

}  // namespace catkinmoor
