#pragma once

#include <cstdint>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// Whether a request that arrives is new, fenced or a duplicate.
enum class arrival_result { kNew, kFenced, kDuplicate };

/// What the ledger knows about a request id.
enum class ledger_fate {
  kNeverForwarded,  ///< It was not forwarded to the target and never will be.
  kWaiting,         ///< It has arrived and waits to be forwarded.
  kForwarded,       ///< It was forwarded to the target, and no response has been sent on.
  kResponded,       ///< The response of the target was sent on.
};

/// Records the state of each request: arrived, forwarded to the target, responded to, or fenced.
/// Forwarding and fencing of one id are mutually exclusive and permanent: a forwarded request
/// cannot be fenced, and a fenced one is never forwarded.
class request_ledger {
 public:
  /// Retention of a fence. It is far longer than the network can delay a request that was sent
  /// before the fence.
  static constexpr milliseconds kFenceRetention{3'600'000};

  /// Records that a request has arrived. Only a new one may proceed.
  arrival_result RecordArrival(const std::string& request_id, milliseconds retention,
                               time_point now);

  /// Claims the right to forward a request to the target. False when it has been fenced or
  /// forwarded before.
  bool TryForward(const std::string& request_id);

  /// Records that the response of the target was sent on.
  void RecordResponse(const std::string& request_id);

  /// Fences a request that was refused before it was forwarded. No effect on any other.
  void FenceIfNotForwarded(const std::string& request_id);

  /// Fences a request that was not forwarded, except a waiting one when except_waiting is set, and
  /// returns what became of it.
  ledger_fate Fence(const std::string& request_id, bool except_waiting, time_point now);

  /// Removes entries past their retention.
  void Expire(time_point now);

  std::size_t Size();

 private:
  enum class request_state { kArrived, kForwarded, kResponded, kFenced };
  struct entry {
    request_state state = request_state::kArrived;
    time_point expires_at{};
  };
  sharded_map<std::string, entry> entries_;
};

}  // namespace catkinmoor
