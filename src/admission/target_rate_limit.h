#pragma once

#include <optional>

#include "framework/base/clock.h"

namespace catkinmoor {

/// The limit that a target names for the requests of all callers together, enforced by the gate
/// beside it, through which they all pass. A token bucket, so that short bursts are not delayed.
/// A plain state machine: the caller passes the time and holds the lock.
class target_rate_limit {
 public:
  /// Applies what the latest response of the target says, in requests per second. A response
  /// without a limit lifts it.
  void OnResponse(std::optional<double> per_second, time_point now);

  /// Applies the limit that a caller learnt from an earlier response. Ignored once the target has
  /// responded to this gate, which then knows better.
  void OnCallerReport(double per_second, time_point now);

  /// Forgets the limit, for a new instance of the target.
  void Reset();

  /// The limit in requests per second; nothing if there is none.
  std::optional<double> PerSecond() const { return per_second_; }

  /// Whether a request may be sent to the target now.
  bool Allows(time_point now) const;

  /// Records that a request is sent.
  void Take(time_point now);

  /// When a request is allowed if no other is sent before.
  time_point NextAllowedAt(time_point now) const;

  /// Time until a request is allowed that waits behind `ahead` others, in milliseconds.
  double ExpectedWaitMs(std::size_t ahead, time_point now) const;

 private:
  void SetLimit(std::optional<double> per_second, time_point now);
  double Capacity() const;
  double TokensAt(time_point now) const;

  std::optional<double> per_second_;
  double tokens_ = 0;
  time_point counted_at_{};
  bool has_responded_ = false;
};

}  // namespace catkinmoor
