#pragma once

#include <cstdint>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// What became of an attempt to hand a request to the target.
enum class hand_outcome { kHanded, kFenced, kDuplicate };

/// What the ledger can say of a request id.
enum class ledger_fate { kNeverHanded, kHanded };

/// Remembers which requests were handed to the target and which never may be. Handing and fencing
/// of one id exclude each other, so exactly one of "handed" and "never" is true for good.
class request_ledger {
 public:
  /// How long a fence is kept: far longer than the network can deliver a request that was sent
  /// before it.
  static constexpr milliseconds kFenceRetention{3'600'000};

  /// Claims the right to hand a request to the target. The claim is remembered for its retention.
  hand_outcome TryHand(const std::string& request_id, milliseconds retention, time_point now);

  /// Says whether a request was handed on; if not, it never will be.
  ledger_fate Fence(const std::string& request_id, time_point now);

  /// Forgets entries whose time is over.
  void Expire(time_point now);

  /// Count of entries held.
  std::size_t Size();

 private:
  struct entry {
    bool handed = false;
    time_point forget_at{};
  };
  sharded_map<std::string, entry> entries_;
};

}  // namespace catkinmoor
