#pragma once

#include <cstdint>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// What became of the arrival of a request.
enum class arrival { kNew, kFenced, kDuplicate };

/// What the ledger can say of a request id.
enum class ledger_fate {
  kNeverHanded,  ///< It was not handed to the target and never will be.
  kWaiting,      ///< It has arrived and waits.
  kHanded,       ///< It was handed to the target, which has not answered.
  kAnswered,     ///< The target's answer was sent on.
};

/// Remembers what became of each request: arrived, handed to the target, answered, or fenced.
/// Handing and fencing of one id exclude each other, so exactly one of "handed" and "never" is true
/// for good.
class request_ledger {
 public:
  /// How long a fence is kept: far longer than the network can deliver a request that was sent
  /// before it.
  static constexpr milliseconds kFenceRetention{3'600'000};

  /// Notes that a request has arrived. Only a new one may go on.
  arrival Arrive(const std::string& request_id, milliseconds retention, time_point now);

  /// Claims the right to hand a request to the target. False when it has been fenced or handed
  /// before.
  bool TryHand(const std::string& request_id);

  /// Notes that the target's answer to a request was sent on.
  void Answered(const std::string& request_id);

  /// Notes that a request was turned away: it never will be handed on.
  void TurnAway(const std::string& request_id);

  /// Says what became of a request. One that was not handed on never will be, unless it waits and
  /// is to be spared.
  ledger_fate Fence(const std::string& request_id, bool spare_waiting, time_point now);

  /// Forgets entries whose time is over.
  void Expire(time_point now);

  /// Count of entries held.
  std::size_t Size();

 private:
  enum class stage { kArrived, kHanded, kAnswered, kFenced };
  struct entry {
    stage reached = stage::kArrived;
    time_point forget_at{};
  };
  sharded_map<std::string, entry> entries_;
};

}  // namespace catkinmoor
