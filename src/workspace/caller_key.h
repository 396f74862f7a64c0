#pragma once

#include <string>
#include <string_view>

#include "document/document.h"

namespace catkinmoor {

/// The digest under which documents hold a caller's key. It is keyed with a constant, so that equal
/// configurations give equal documents on every daemon.
std::string DigestKey(std::string_view key);

/// The credentials in the value of an authorization header, or nothing if the scheme is another
/// one. Schemes are compared without case.
std::string_view CredentialsOf(std::string_view header_value, std::string_view scheme);

/// The workspace that has a key with this digest in a document, or null.
const workspace* FindWorkspace(const parsed_document& document, const std::string& digest);

/// Whether a request may run as far as its key is concerned.
enum class key_outcome {
  kAccepted,   ///< The key of a workspace.
  kNotNeeded,  ///< No workspace, but the route or the document requires none.
  kRefused,    ///< An unknown key, or none.
};

/// The result of a key check. The workspace belongs to the document in force; null if none.
struct key_check {
  key_outcome outcome = key_outcome::kRefused;
  const workspace* found = nullptr;
};

/// Looks up a caller's key. A version that is held but not yet in force may take a key away, but
/// gives none: `held` may be null or the document in force itself.
key_check CheckKey(const parsed_document& in_force, const parsed_document* held,
                   const route& matched, std::string_view key);

}  // namespace catkinmoor
