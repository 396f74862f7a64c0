#include "workspace/caller_key.h"

#include "framework/base/digest.h"
#include "framework/base/text.h"

namespace catkinmoor {
namespace {

/// Separates these digests from other uses of the same function; it is no secret. Keys are random
/// texts, which cannot be found by trying candidates.
constexpr std::string_view kDigestKey = "catkinmoor workspace key";
/// 128 bits; the full digest would double the size of documents with thousands of keys.
constexpr std::size_t kDigestLength = 32;

}  // namespace

std::string DigestKey(std::string_view key) {
  return HmacSha256Hex(kDigestKey, key).substr(0, kDigestLength);
}

// The time of the lookup depends on the digest only,
// which reveals nothing about the key.
const workspace* FindWorkspace(const parsed_document& document, const std::string& digest) {
  const auto found = document.workspaces_by_key.find(digest);
  if (found == document.workspaces_by_key.end()) return nullptr;
  return ConstantTimeEqual(found->first, digest) ? &document.content.workspaces[found->second]
                                                 : nullptr;
}

std::string_view CredentialsOf(std::string_view header_value, std::string_view scheme) {
  const auto space = header_value.find(' ');
  if (space == std::string_view::npos) return {};
  if (LowerCase(std::string(header_value.substr(0, space))) != LowerCase(std::string(scheme))) {
    return {};
  }
  const auto begin = header_value.find_first_not_of(' ', space);
  return begin == std::string_view::npos ? std::string_view() : header_value.substr(begin);
}

key_check CheckKey(const parsed_document& in_force, const parsed_document* held,
                   const route& matched, std::string_view key) {
  if (in_force.content.workspaces.empty()) return {key_outcome::kNotNeeded};
  const key_outcome without_key =
      matched.is_public ? key_outcome::kNotNeeded : key_outcome::kRefused;
  if (key.empty()) return {without_key};
  const std::string digest = DigestKey(key);
  const workspace* found = FindWorkspace(in_force, digest);
  if (found == nullptr) return {without_key};
  if (held != nullptr && held != &in_force) {
    const workspace* next = FindWorkspace(*held, digest);
    if (next == nullptr || next->name != found->name) return {without_key};
  }
  return {key_outcome::kAccepted, found};
}

}  // namespace catkinmoor
