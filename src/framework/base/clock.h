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

/// A clock that is never set and that also counts the time for which the machine is suspended,
/// which the steady clock does not. It measures how long ago something happened outside the
/// machine.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

using boot_time_point = boot_clock::time_point;

inline boot_time_point BootNow() { return boot_clock::now(); }

/// The boot clock's time for code that takes a time_point. Not comparable with Now().
inline time_point SuspendAwareNow() {
  return time_point(std::chrono::duration_cast<time_point::duration>(BootNow().time_since_epoch()));
}

/// Milliseconds since the Unix epoch, for displayed times and for incarnation numbers.
inline std::uint64_t UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

}  // namespace catkinmoor
