#pragma once

#include "framework/base/clock.h"

namespace catkinmoor {

/// Phases of a planned stop, each given by the time from its beginning. Every request that is still
/// held gets a response before the process ends.
struct stop_schedule {
  /// The target is announced as leaving.
  milliseconds withdraw{0};
  /// New requests are refused.
  milliseconds drain{0};
  /// Requests that no target has begun are answered as not run.
  milliseconds end_attempts{0};
  /// The daemon announces that it has left.
  milliseconds leave{0};
  /// What targets are told to be the latest end of their work.
  milliseconds target_deadline{0};
  /// Requests without a response are answered as unknown.
  milliseconds end_waits{0};
  /// Connections are closed.
  milliseconds end{0};

  friend bool operator==(const stop_schedule&, const stop_schedule&) = default;
};

/// Time that a record needs to spread to the other daemons.
inline constexpr milliseconds kLeaveSpreadTime{300};

/// Plans a stop that serves on for the notice period, and ends after the drain timeout that
/// follows.
stop_schedule PlanStop(milliseconds notice_period, milliseconds drain_timeout);

}  // namespace catkinmoor
