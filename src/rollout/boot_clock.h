#pragma once

#include <ctime>

#include "framework/base/clock.h"

namespace catkinmoor {

/// A time on CLOCK_BOOTTIME, which also counts while the vm is suspended. Not comparable with
/// Now().
inline time_point BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace catkinmoor
