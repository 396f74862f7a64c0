#include "administration/team_registry.h"

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

}  // namespace

team_registry::team_registry(std::string hmac_key, std::vector<team_credential> teams)
    : hmac_key_(std::move(hmac_key)), teams_(std::move(teams)) {}

std::optional<std::string> team_registry::FindTeam(std::string_view authorization) const {
  if (authorization.substr(0, kBearerPrefix.size()) != kBearerPrefix) return std::nullopt;
  const std::string hash = HmacSha256Hex(hmac_key_, authorization.substr(kBearerPrefix.size()));
  std::optional<std::string> team;
  for (const team_credential& each : teams_) {
    if (ConstantTimeEqual(each.token_hmac, hash)) team = each.team;
  }
  return team;
}

}  // namespace catkinmoor
