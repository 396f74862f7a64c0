#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace catkinmoor {

using milliseconds = std::chrono::milliseconds;

/// A point of the steady clock. Code that makes decisions receives it as an argument and never
/// reads a clock.
using time_point = std::chrono::steady_clock::time_point;

inline time_point Now() { return std::chrono::steady_clock::now(); }

/// A clock that, unlike the steady clock, also counts the time for which the vm is suspended.
struct suspend_aware_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<suspend_aware_clock>;
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

using suspend_aware_time = suspend_aware_clock::time_point;

inline suspend_aware_time SuspendAwareNow() { return suspend_aware_clock::now(); }

/// Milliseconds since the Unix epoch, for displayed times and for incarnation numbers.
inline std::uint64_t UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

}  // namespace catkinmoor
