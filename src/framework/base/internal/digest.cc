#include "framework/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace catkinmoor {
namespace {

constexpr std::size_t kRandomIdBytes = 16;

std::string ToHex(const unsigned char* bytes, std::size_t count) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (std::size_t i = 0; i < count; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 0xF]);
  }
  return text;
}

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(AsBytes(text), text.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256Hex(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), AsBytes(text), text.size(),
       digest.data(), &length);
  return ToHex(digest.data(), length);
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string RandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace catkinmoor
