#include "distribution/source_freshness.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// Confirmations are this share of the maximum age apart, so that one may be delayed.
constexpr double kConfirmationInterval = 0.5;

}  // namespace

void source_freshness::OnConfirmed(time_point confirmed_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
}

void source_freshness::OnConfirmationSent(time_point sent_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  sent_at_ = std::max(sent_at_, sent_at);
}

bool source_freshness::IsStale(time_point now) const { return now >= StaleAt(); }

time_point source_freshness::StaleAt() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return max_age_.count() == 0 ? time_point::max() : confirmed_at_ + max_age_;
}

bool source_freshness::ShouldConfirm(time_point now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return max_age_.count() > 0 &&
         now - std::max(confirmed_at_, sent_at_) >= kConfirmationInterval * max_age_;
}

milliseconds source_freshness::Age(time_point now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::chrono::duration_cast<milliseconds>(now - confirmed_at_);
}

}  // namespace catkinmoor
