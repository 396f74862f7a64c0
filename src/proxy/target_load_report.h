#pragma once

#include <cstdint>
#include <optional>

#include "framework/base/clock.h"

namespace catkinmoor {

/// The load that a target stated in a response.
struct target_load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work takes at present, in per cent of the usual time.
  std::optional<std::uint32_t> work_time_percent;
  /// When the response was received; its age shows how current the report is.
  time_point received_at;

  friend bool operator==(const target_load_report&, const target_load_report&) = default;
};

}  // namespace catkinmoor
