#pragma once

#include <string>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Settings of distribution and membership.
struct distribution_settings {
  std::string strategy = "tree";
  milliseconds probe_interval{1'000};
  milliseconds probe_timeout{500};
  milliseconds suspicion_timeout{2'000};
  milliseconds source_poll_interval{1'000};
  milliseconds source_long_poll_wait{0};
  /// Time without a confirmation from a reader of the source after which a daemon reads the source
  /// itself; 0 always relies on the readers.
  milliseconds max_source_age{5'000};
  /// Time since a key's removal after which it must admit no request; 0 for no bound.
  milliseconds key_revocation_bound{0};
  /// Time after which a version is put in force without a witness; 0 waits for one indefinitely.
  milliseconds max_witness_wait{0};
  /// Whether a read of the source alone returns every version that was ever in force, so that a
  /// restarting daemon need not ask its peers.
  bool source_is_authoritative = false;
  milliseconds spread_timeout{1'000};
  milliseconds rendezvous_refresh_interval{30'000};
  milliseconds member_batch_window{20};
};

}  // namespace catkinmoor
