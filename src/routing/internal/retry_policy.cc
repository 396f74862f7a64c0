#include "routing/retry_policy.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// Without a fleet-wide burst, a bucket holds at most the retries earned in this many seconds at
/// the minimum rate plus those earned by this many first attempts.
constexpr double kBurstSeconds = 5;
constexpr double kBurstFirstAttempts = 100;

double Capacity(const retry_budget_settings& settings, std::size_t daemons) {
  if (settings.fleet_burst >= 0) {
    return settings.fleet_burst / static_cast<double>(std::max<std::size_t>(1, daemons));
  }
  return std::max(1.0,
                  kBurstSeconds * settings.min_per_second + kBurstFirstAttempts * settings.ratio);
}

}  // namespace

const char* OutcomeName(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kResponded:
      return "answered";
    case attempt_outcome::kFailureResponse:
      return "failed";
    case attempt_outcome::kNotSent:
      return "not-sent";
    case attempt_outcome::kRefused:
      return "refused";
    case attempt_outcome::kRefusedOverload:
      return "refused-by-load";
    case attempt_outcome::kFenced:
      return "fenced";
    case attempt_outcome::kLost:
      break;
  }
  return "lost";
}

const char* StepName(next_step step) {
  switch (step) {
    case next_step::kDeliverResponse:
      return "deliver";
    case next_step::kRetry:
      return "try-another";
    case next_step::kQueryGate:
      return "ask-gate";
    case next_step::kReportNotRun:
      return "say-not-run";
    case next_step::kReportUnknown:
      break;
  }
  return "say-unknown";
}

void retry_budget::Refill(bucket& budget, const retry_budget_settings& settings,
                          time_point now) const {
  if (budget.refilled_at == time_point{}) {
    budget.tokens = settings.min_per_second;
  } else {
    const double seconds = std::chrono::duration<double>(now - budget.refilled_at).count();
    budget.tokens += std::max(0.0, seconds) * settings.min_per_second;
  }
  budget.tokens = std::min(budget.tokens, Capacity(settings, daemons_));
  budget.refilled_at = now;
}

void retry_budget::OnFirstAttempt(const std::string& service, const retry_budget_settings& settings,
                                  time_point now) {
  buckets_.WithShard(service, [&](auto& entries) {
    bucket& service_bucket = entries[service];
    Refill(service_bucket, settings, now);
    service_bucket.tokens =
        std::min(service_bucket.tokens + settings.ratio, Capacity(settings, daemons_));
    return 0;
  });
}

bool retry_budget::TryTake(const std::string& service, const retry_budget_settings& settings,
                           time_point now) {
  return buckets_.WithShard(service, [&](auto& entries) {
    bucket& service_bucket = entries[service];
    Refill(service_bucket, settings, now);
    if (service_bucket.tokens < 1) return false;
    service_bucket.tokens -= 1;
    return true;
  });
}

}  // namespace catkinmoor
