#pragma once

#include <cstdint>

#include "framework/base/address_translation.h"
#include "framework/base/clock.h"

namespace catkinmoor {

/// Bounds and times of the serving path.
struct proxy_settings {
  std::int64_t header_bytes = 16 << 10;
  std::int64_t body_bytes = 4LL << 30;
  std::int64_t replay_bytes = 64 << 10;
  milliseconds header_timeout{10'000};
  milliseconds idle_timeout{60'000};
  milliseconds progress_timeout{15'000};
  milliseconds connect_timeout{1'000};
  milliseconds fence_timeout{1'000};
  milliseconds silence_check{1'000};
  std::int64_t pool_idle = 64;
  std::int64_t max_depth = 6;
  address_translation translation;
};

}  // namespace catkinmoor
