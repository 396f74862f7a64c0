#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinmoor {

/// A team and the keyed hash of its token. Team "*" may change every document.
struct team_credential {
  std::string team;
  std::string token_hmac;

  friend bool operator==(const team_credential&, const team_credential&) = default;
};

/// Identifies teams by their bearer tokens. Stores only keyed hashes of the tokens.
class team_registry {
 public:
  team_registry(std::string hmac_key, std::vector<team_credential> teams);

  /// The team whose token an Authorization header carries, or nothing if the token is unknown.
  std::optional<std::string> FindTeam(std::string_view authorization) const;

 private:
  std::string hmac_key_;
  std::vector<team_credential> teams_;
};

}  // namespace catkinmoor
