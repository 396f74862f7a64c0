#include "admission/target_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

/// Requests that may be sent at once after a pause, as a time at the full rate.
constexpr double kBurstSeconds = 0.25;
/// A target whose limit is lower still gets a request at times, whose response tells when the limit
/// has been lifted.
constexpr double kMinPerSecond = 0.25;
constexpr double kMaxPerSecond = 1e9;
constexpr double kMsPerSecond = 1'000;

std::optional<double> Bounded(std::optional<double> per_second) {
  if (!per_second || std::isnan(*per_second)) return std::nullopt;
  return std::clamp(*per_second, kMinPerSecond, kMaxPerSecond);
}

}  // namespace

void target_rate_limit::OnResponse(std::optional<double> per_second, time_point now) {
  has_responded_ = true;
  SetLimit(Bounded(per_second), now);
}

void target_rate_limit::OnCallerReport(double per_second, time_point now) {
  if (!has_responded_) SetLimit(Bounded(per_second), now);
}

void target_rate_limit::Reset() { *this = {}; }

void target_rate_limit::SetLimit(std::optional<double> per_second, time_point now) {
  if (per_second == per_second_) return;
  const bool is_new = !per_second_;
  tokens_ = TokensAt(now);
  counted_at_ = now;
  per_second_ = per_second;
  if (per_second_) tokens_ = is_new ? Capacity() : std::min(tokens_, Capacity());
}

double target_rate_limit::Capacity() const {
  return std::max(1.0, kBurstSeconds * per_second_.value_or(0));
}

double target_rate_limit::TokensAt(time_point now) const {
  if (!per_second_) return 0;
  const std::chrono::duration<double> elapsed = now - counted_at_;
  return std::min(Capacity(), tokens_ + *per_second_ * std::max(0.0, elapsed.count()));
}

bool target_rate_limit::Allows(time_point now) const { return NextAllowedAt(now) <= now; }

void target_rate_limit::Take(time_point now) {
  if (!per_second_) return;
  tokens_ = TokensAt(now) - 1;
  counted_at_ = now;
}

time_point target_rate_limit::NextAllowedAt(time_point now) const {
  const std::chrono::duration<double, std::milli> wait(ExpectedWaitMs(0, now));
  return now + std::chrono::ceil<std::chrono::microseconds>(wait);
}

double target_rate_limit::ExpectedWaitMs(std::size_t ahead, time_point now) const {
  if (!per_second_) return 0;
  const double missing = static_cast<double>(ahead + 1) - TokensAt(now);
  return std::max(0.0, missing / *per_second_ * kMsPerSecond);
}

}  // namespace catkinmoor
