#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinmoor {

/// A team and the keyed hash of its token. The team "*" may change every document.
struct team_entry {
  std::string team;
  std::string token_hmac;

  friend bool operator==(const team_entry&, const team_entry&) = default;
};

/// Knows the teams by their bearer tokens. Tokens themselves are never kept.
class team_registry {
 public:
  team_registry(std::string hmac_key, std::vector<team_entry> teams);

  /// The team of an Authorization header, or nothing when the token is not known.
  std::optional<std::string> TeamOf(std::string_view authorization) const;

 private:
  std::string hmac_key_;
  std::vector<team_entry> teams_;
};

}  // namespace catkinmoor
