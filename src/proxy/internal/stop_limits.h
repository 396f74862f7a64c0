#pragma once

#include <algorithm>
#include <atomic>

#include "framework/base/clock.h"

namespace catkinmoor::proxy_internal {

/// Limits that a planned stop of the daemon sets to the requests that it still holds. Thread-safe.
class stop_limits {
 public:
  /// Sets the time after which a target's response could not be delivered any more.
  void SetLastDeadline(time_point deadline) { last_deadline_ = deadline; }

  /// The earlier of a request's deadline and the one of the stop.
  time_point LimitDeadline(time_point deadline) const {
    return std::min(deadline, last_deadline_.load());
  }

  /// From now on requests are not sent to any target, and those that wait for one are fenced.
  void EndAttempts() { attempts_ended_ = true; }
  bool AttemptsEnded() const { return attempts_ended_; }

 private:
  std::atomic<time_point> last_deadline_{time_point::max()};
  std::atomic<bool> attempts_ended_ = false;
};

}  // namespace catkinmoor::proxy_internal
