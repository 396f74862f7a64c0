#pragma once

#include <chrono>
#include <cstdint>

namespace catkinmoor {

using milliseconds = std::chrono::milliseconds;

/// A point of the steady clock. Code that makes decisions receives it as an argument and never
/// reads a clock.
using time_point = std::chrono::steady_clock::time_point;

inline time_point Now() { return std::chrono::steady_clock::now(); }

/// Milliseconds since the Unix epoch, for displayed times and for incarnation numbers.
inline std::uint64_t UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

}  // namespace catkinmoor
