#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "rollout/rollout_state.h"

namespace catkinmoor {

/// A state with the times at which it was heard.
struct held_rollout {
  rollout_state state;
  /// When the order was first heard.
  time_point order_heard_at{};
  /// When a state that the conductor newly issued was last heard.
  time_point heard_at{};
  /// When the present phase was first heard.
  time_point phase_heard_at{};
};

/// The newest state of the rollout of each service. Thread-safe; the caller passes the time.
class rollout_board {
 public:
  /// Keeps a state. False unless it is newer than the one held.
  bool Record(const rollout_state& state, time_point now);

  std::optional<held_rollout> Find(const std::string& service) const;

  std::vector<held_rollout> All() const;

  /// Whether no order has been heard at all.
  bool IsEmpty() const { return empty_; }

 private:
  std::atomic<bool> empty_ = true;
  mutable std::mutex mutex_;
  std::map<std::string, held_rollout> rollouts_;
};

}  // namespace catkinmoor
