#include "proxy/internal/key_admission.h"

#include "workspace/caller_key.h"

namespace catkinmoor::proxy_internal {
namespace {

void CountRefusal(const entry_dependencies& deps, const std::string& reason) {
  deps.metrics.IncrementCounter("catkinmoor_key_refusals_total", {{"reason", reason}});
}

std::optional<local_response> AdmitUntil(const entry_dependencies& deps,
                                         boot_time_point valid_until, call_state& call) {
  const boot_time_point now = BootNow();
  if (now < valid_until) {
    call.key_valid_until = valid_until;
    return std::nullopt;
  }
  CountRefusal(deps, kReasonKeyUnconfirmed);
  local_response refused = NotRunResponse(503, kReasonKeyUnconfirmed, "check key",
                                          "no recent proof that the key is still valid");
  refused.retry_after = deps.key_proofs.RetryAfter(now);
  return refused;
}

}  // namespace

std::optional<local_response> AdmitKey(const entry_dependencies& deps, std::string_view key,
                                       boot_time_point valid_until, call_state& call) {
  if (!deps.key_proofs.IsBounded()) return std::nullopt;
  call.key_digest = DigestKey(key);
  return AdmitUntil(deps, valid_until, call);
}

std::optional<local_response> RenewKey(const entry_dependencies& deps, call_state& call) {
  if (!call.key_valid_until) return std::nullopt;
  // A proof that arrives after this line may come with a version that removes the key.
  const boot_time_point valid_until = deps.key_proofs.ValidUntil();
  const parsed_document_ptr held = deps.documents.Held(call.document->source.service);
  const workspace* found = held == nullptr ? nullptr : FindWorkspace(*held, call.key_digest);
  if (found == nullptr || found->name != call.caller_workspace->name) {
    CountRefusal(deps, "removed");
    return NotRunResponse(401, "unknown-key", "check key", "the key has been removed");
  }
  return AdmitUntil(deps, valid_until, call);
}

bool IsKeyExpired(const gate_call& call) {
  return call.key_valid_until && BootNow() >= *call.key_valid_until;
}

local_response KeyExpiredResponse() {
  return NotRunResponse(503, kReasonKeyUnconfirmed, "gate",
                        "the caller's key was not confirmed while the call waited");
}

}  // namespace catkinmoor::proxy_internal
