#pragma once

#include <string>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Settings of distribution and membership.
struct distribution_settings {
  std::string strategy = "tree";
  milliseconds probe_interval{1'000};
  milliseconds probe_timeout{500};
  milliseconds suspicion{2'000};
  milliseconds source_poll{1'000};
  milliseconds source_wait{0};
  /// Time after which a version is put in force without a witness; 0 waits for one indefinitely.
  milliseconds witness_wait{0};
  /// Whether a read of the source alone returns every version that was ever in force, so that a
  /// restarting daemon need not ask its peers.
  bool source_is_current = false;
  milliseconds spread_timeout{1'000};
  milliseconds meeting_refresh{30'000};
  milliseconds member_batch{20};
};

}  // namespace catkinmoor
