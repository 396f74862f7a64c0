#pragma once

#include <boost/asio/awaitable.hpp>

#include "framework/base/result.h"
#include "rollout/rollout_state.h"

namespace catkinmoor {

/// State of a rollout as the operator sees it.
enum class rollout_outcome { kRunning, kSucceeded, kRolledBack };

inline rollout_outcome OutcomeOf(rollout_phase phase) {
  if (phase == rollout_phase::kSucceeded) return rollout_outcome::kSucceeded;
  if (phase == rollout_phase::kRolledBack) return rollout_outcome::kRolledBack;
  return rollout_outcome::kRunning;
}

/// Tells the operator the state of a rollout. Only the conductor writes it.
class rollout_status_writer {
 public:
  virtual ~rollout_status_writer() = default;

  /// May be repeated: a status that is stated already is not written again.
  virtual boost::asio::awaitable<result<done>> Write(rollout_order order,
                                                     rollout_outcome outcome) = 0;
};

}  // namespace catkinmoor
