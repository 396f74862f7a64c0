#include "routing/retry_policy.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// The most retries that can be saved up, in seconds of the least rate or in first tries.
constexpr double kSavedSeconds = 5;
constexpr double kSavedTries = 100;

double Capacity(const retry_budget_settings& settings, std::size_t daemons) {
  if (settings.fleet_burst >= 0) {
    return settings.fleet_burst / static_cast<double>(std::max<std::size_t>(1, daemons));
  }
  return std::max(1.0, kSavedSeconds * settings.least_per_second + kSavedTries * settings.ratio);
}

}  // namespace

const char* OutcomeName(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kAnswered:
      return "answered";
    case attempt_outcome::kFailed:
      return "failed";
    case attempt_outcome::kNotSent:
      return "not-sent";
    case attempt_outcome::kRefused:
      return "refused";
    case attempt_outcome::kRefusedByLoad:
      return "refused-by-load";
    case attempt_outcome::kFencedNotRun:
      return "fenced";
    case attempt_outcome::kLost:
      break;
  }
  return "lost";
}

const char* StepName(next_step step) {
  switch (step) {
    case next_step::kDeliver:
      return "deliver";
    case next_step::kTryAnother:
      return "try-another";
    case next_step::kAskGate:
      return "ask-gate";
    case next_step::kSayNotRun:
      return "say-not-run";
    case next_step::kSayUnknown:
      break;
  }
  return "say-unknown";
}

void retry_budget::Refill(bucket& of, const retry_budget_settings& settings, time_point now) const {
  if (of.refilled == time_point{}) {
    of.tokens = settings.least_per_second;
  } else {
    const double seconds = std::chrono::duration<double>(now - of.refilled).count();
    of.tokens += std::max(0.0, seconds) * settings.least_per_second;
  }
  of.tokens = std::min(of.tokens, Capacity(settings, daemons_));
  of.refilled = now;
}

void retry_budget::OnFirstTry(const std::string& service, const retry_budget_settings& settings,
                              time_point now) {
  buckets_.With(service, [&](auto& entries) {
    bucket& own = entries[service];
    Refill(own, settings, now);
    own.tokens = std::min(own.tokens + settings.ratio, Capacity(settings, daemons_));
    return 0;
  });
}

bool retry_budget::Take(const std::string& service, const retry_budget_settings& settings,
                        time_point now) {
  return buckets_.With(service, [&](auto& entries) {
    bucket& own = entries[service];
    Refill(own, settings, now);
    if (own.tokens < 1) return false;
    own.tokens -= 1;
    return true;
  });
}

}  // namespace catkinmoor
