#pragma once

#include <string>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Times and choices of distribution and membership.
struct distribution_settings {
  std::string strategy = "tree";
  milliseconds probe_interval{1'000};
  milliseconds probe_timeout{500};
  milliseconds suspicion{2'000};
  milliseconds source_poll{1'000};
  milliseconds spread_timeout{1'000};
  milliseconds meeting_refresh{30'000};
  milliseconds member_batch{20};
};

}  // namespace catkinmoor
