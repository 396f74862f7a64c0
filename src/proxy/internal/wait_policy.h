#pragma once

#include <cstdint>
#include <optional>

#include "membership/member.h"
#include "peer/messages.h"

namespace catkinmoor::proxy_internal {

/// What can be said about a response that has not arrived.
enum class response_prospect {
  kExpected,    ///< Nothing suggests that it will not arrive.
  kDoubtful,    ///< The gate may be gone or the response lost; neither is proved.
  kImpossible,  ///< The gate has stated that it will never forward the request.
};

/// What an entry knows about a request whose response it awaits.
struct wait_evidence {
  /// The gate's reply to the latest query; nothing if none arrived in time.
  std::optional<request_fate> reply;
  /// Whether the reply before that one was that the response had been sent on.
  bool responded_before = false;
  /// The gate's member as known at present; null if it is not known.
  const member_record* gate = nullptr;
  /// The incarnation of the gate's daemon that the request was sent to.
  std::uint64_t asked_incarnation = 0;
};

/// Assesses whether a response may still arrive. Only a statement of the gate itself proves that
/// none will: a suspicion, a death announced by others and a changed incarnation may all concern a
/// daemon that is slow while its target runs the request.
response_prospect AssessResponse(const wait_evidence& evidence);

}  // namespace catkinmoor::proxy_internal
