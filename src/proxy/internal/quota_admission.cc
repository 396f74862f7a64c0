#include "proxy/internal/quota_admission.h"

#include "proxy/internal/permit_lease.h"

namespace catkinmoor::proxy_internal {
namespace {

/// Longest wait for an ask in progress, and its largest share of the request's time.
constexpr milliseconds kMaxPermitWait{300};
constexpr int kPermitWaitDivisor = 3;

}  // namespace

asio::awaitable<std::optional<local_response>> TakePermit(quota_controller* quotas,
                                                          call_state& call) {
  const bool limited = quotas != nullptr && quotas->Enabled() && call.caller_workspace != nullptr &&
                       call.caller_workspace->requests_per_second > 0;
  if (!limited) co_return std::nullopt;
  const time_point now = Now();
  const time_point wait_end = now + std::min<time_point::duration>(
                                        kMaxPermitWait, (call.deadline - now) / kPermitWaitDivisor);
  auto taken = co_await quotas->Take(call.caller_workspace->name, wait_end);
  if (auto* granted = std::get_if<permit>(&taken)) {
    call.permit = std::make_shared<permit_lease>(*quotas, std::move(*granted));
    co_return std::nullopt;
  }
  const auto& refusal = std::get<permit_refusal>(taken);
  local_response refused =
      refusal.why == permit_refusal::cause::kOverLimit
          ? NotRunResponse(429, "quota", "take permit", "the workspace is over its limit")
          : NotRunResponse(503, "quota-unavailable", "take permit",
                           "no quota authority grants permits at present");
  refused.retry_after = refusal.retry_after;
  co_return refused;
}

}  // namespace catkinmoor::proxy_internal
