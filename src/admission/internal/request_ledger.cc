#include "admission/request_ledger.h"

namespace catkinmoor {

arrival request_ledger::Arrive(const std::string& request_id, milliseconds retention,
                               time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{request_state::kArrived, now + retention});
    if (added) return arrival::kNew;
    return found->second.state == request_state::kFenced ? arrival::kFenced : arrival::kDuplicate;
  });
}

bool request_ledger::TryHand(const std::string& request_id) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found == entries.end() || found->second.state != request_state::kArrived) return false;
    found->second.state = request_state::kForwarded;
    return true;
  });
}

void request_ledger::Answered(const std::string& request_id) {
  entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found != entries.end()) found->second.state = request_state::kResponded;
    return 0;
  });
}

void request_ledger::TurnAway(const std::string& request_id) {
  entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    const bool is_waiting =
        found != entries.end() && found->second.state == request_state::kArrived;
    if (is_waiting) found->second.state = request_state::kFenced;
    return 0;
  });
}

ledger_fate request_ledger::Fence(const std::string& request_id, bool spare_waiting,
                                  time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{request_state::kFenced, now + kFenceRetention});
    entry& existing = found->second;
    if (existing.state == request_state::kForwarded) return ledger_fate::kHanded;
    if (existing.state == request_state::kResponded) return ledger_fate::kAnswered;
    if (existing.state == request_state::kArrived && spare_waiting) return ledger_fate::kWaiting;
    existing = {request_state::kFenced, now + kFenceRetention};
    return ledger_fate::kNeverHanded;
  });
}

void request_ledger::Expire(time_point now) {
  entries_.ForEachShard([&](auto& entries) {
    std::erase_if(entries, [&](const auto& each) { return each.second.expires_at <= now; });
  });
}

std::size_t request_ledger::Size() {
  std::size_t size = 0;
  entries_.ForEachShard([&](auto& entries) { size += entries.size(); });
  return size;
}

}  // namespace catkinmoor
