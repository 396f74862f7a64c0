#pragma once

#include <optional>
#include <string_view>

#include "proxy/entry_proxy.h"
#include "proxy/internal/entry_call.h"

namespace catkinmoor::proxy_internal {

/// Admits a request whose key belongs to a workspace until `valid_until`, which was read before the
/// key was looked up. Returns the response if that is over.
std::optional<local_response> AdmitKey(const entry_dependencies& deps, std::string_view key,
                                       boot_time_point valid_until, call_state& call);

/// Checks the key of an admitted request again before an attempt, since the request may have
/// waited. Returns the response if the key has been removed or is unconfirmed. Does nothing for a
/// request without a key, or if keys are not bounded.
std::optional<local_response> RenewKey(const entry_dependencies& deps, call_state& call);

/// At a gate: whether the time is over for which the entry admitted the call.
bool IsKeyExpired(const gate_call& call);

/// The refusal of such a call.
local_response KeyExpiredResponse();

}  // namespace catkinmoor::proxy_internal
