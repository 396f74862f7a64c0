#include "workspace/key_freshness.h"

#include <algorithm>

namespace catkinmoor {
namespace {

constexpr auto kNever = boot_clock::duration::min().count();

/// Part of the bound that is not used, for clocks that run at slightly different rates and for the
/// time between the check and the use of its result.
constexpr double kMarginShare = 0.02;
/// A reader's proof is at most two polls old. With a query interval and two round trips it stays
/// under 0.4 of the bound, so that 0.6 are left when the last path to the source is lost.
constexpr double kQueryIntervalShare = 0.1;
constexpr double kQueryTimeoutShare = 0.06;
constexpr double kUsualAgeShare = 0.3;
/// A daemon that cannot tell when the next query is sent, or has just sent it, expects an answer
/// within this time.
constexpr milliseconds kAnswerTime{50};
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{1'000};

milliseconds Share(milliseconds bound, double share) {
  return std::chrono::duration_cast<milliseconds>(bound * share);
}

boot_time_point TimePoint(boot_clock::rep count) {
  return boot_time_point(boot_clock::duration(count));
}

/// Proofs may arrive in another order than they were asked for; the newest counts.
void Raise(std::atomic<boot_clock::rep>& moment, boot_time_point to) {
  const boot_clock::rep raised = to.time_since_epoch().count();
  boot_clock::rep present = moment.load();
  while (present < raised && !moment.compare_exchange_weak(present, raised)) {
  }
}

}  // namespace

key_freshness::key_freshness(milliseconds bound)
    : bound_(bound),
      proved_at_(kNever),
      own_read_at_(kNever),
      reader_heard_at_(kNever),
      next_query_at_(kNever) {}

void key_freshness::OnOwnRead(boot_time_point asked_at) {
  Raise(own_read_at_, asked_at);
  Raise(proved_at_, asked_at);
}

void key_freshness::OnPeerProof(boot_time_point asked_at, milliseconds age) {
  Raise(proved_at_, asked_at - std::max(age, milliseconds(0)));
}

void key_freshness::OnReaderHeard(boot_time_point read_at) { Raise(reader_heard_at_, read_at); }

std::optional<boot_time_point> key_freshness::ProvedAt() const {
  const boot_clock::rep proved_at = proved_at_.load();
  if (proved_at == kNever) return std::nullopt;
  return TimePoint(proved_at);
}

milliseconds key_freshness::Age(boot_time_point now) const {
  const auto proved_at = ProvedAt();
  return proved_at ? std::chrono::ceil<milliseconds>(now - *proved_at) : milliseconds::max();
}

boot_time_point key_freshness::ValidUntil() const {
  if (!IsBounded()) return boot_time_point::max();
  const auto proved_at = ProvedAt();
  if (!proved_at) return boot_time_point::min();
  return *proved_at + bound_ - Share(bound_, kMarginShare);
}

bool key_freshness::ReadsSource(boot_time_point now) const {
  const boot_clock::rep read_at = own_read_at_.load();
  return read_at != kNever && now - TimePoint(read_at) <= Share(bound_, kUsualAgeShare);
}

boot_time_point key_freshness::OwnReadDue(double share) const {
  if (!IsBounded()) return boot_time_point::max();
  const boot_clock::rep heard_at = reader_heard_at_.load();
  if (heard_at == kNever) return boot_time_point::min();
  return TimePoint(heard_at) + Share(bound_, share);
}

milliseconds key_freshness::QueryInterval() const { return Share(bound_, kQueryIntervalShare); }

milliseconds key_freshness::QueryTimeout() const { return Share(bound_, kQueryTimeoutShare); }

bool key_freshness::IsUsualAge(milliseconds age) const {
  return age <= Share(bound_, kUsualAgeShare);
}

void key_freshness::OnQueryPlanned(boot_time_point moment) {
  next_query_at_ = moment.time_since_epoch().count();
}

milliseconds key_freshness::RetryAfter(boot_time_point now) const {
  const boot_clock::rep next = next_query_at_.load();
  milliseconds wait{0};
  if (next != kNever) wait = std::chrono::ceil<milliseconds>(TimePoint(next) - now);
  return std::clamp(std::max(wait, milliseconds(0)) + kAnswerTime, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace catkinmoor
