#include "rollout/rollout_board.h"

namespace catkinmoor {

bool rollout_board::Record(const rollout_state& state, time_point now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [found, added] = rollouts_.try_emplace(state.order.service);
  held_rollout& held = found->second;
  if (!added && !IsNewer(state, held.state)) return false;
  const bool new_order = added || held.state.order.number != state.order.number;
  if (new_order) held.order_heard_at = now;
  if (new_order || held.state.phase != state.phase) held.phase_heard_at = now;
  held.heard_at = now;
  held.state = state;
  empty_ = false;
  return true;
}

std::optional<held_rollout> rollout_board::Find(const std::string& service) const {
  if (empty_) return std::nullopt;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return std::nullopt;
  return found->second;
}

std::vector<held_rollout> rollout_board::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<held_rollout> all;
  for (const auto& [service, held] : rollouts_) all.push_back(held);
  return all;
}

}  // namespace catkinmoor
