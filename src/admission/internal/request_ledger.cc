#include "admission/request_ledger.h"

namespace catkinmoor {

arrival_result request_ledger::RecordArrival(const std::string& request_id, milliseconds retention,
                                             time_point now) {
  return entries_.WithShard(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{request_state::kArrived, now + retention});
    if (added) return arrival_result::kNew;
    return found->second.state == request_state::kFenced ? arrival_result::kFenced
                                                         : arrival_result::kDuplicate;
  });
}

bool request_ledger::TryForward(const std::string& request_id) {
  return entries_.WithShard(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found == entries.end() || found->second.state != request_state::kArrived) return false;
    found->second.state = request_state::kForwarded;
    return true;
  });
}

void request_ledger::RecordResponse(const std::string& request_id) {
  entries_.WithShard(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found != entries.end()) found->second.state = request_state::kResponded;
    return 0;
  });
}

void request_ledger::FenceIfNotForwarded(const std::string& request_id) {
  entries_.WithShard(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    const bool is_waiting =
        found != entries.end() && found->second.state == request_state::kArrived;
    if (is_waiting) found->second.state = request_state::kFenced;
    return 0;
  });
}

ledger_fate request_ledger::Fence(const std::string& request_id, bool except_waiting,
                                  time_point now) {
  return entries_.WithShard(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{request_state::kFenced, now + kFenceRetention});
    entry& existing = found->second;
    if (existing.state == request_state::kForwarded) return ledger_fate::kForwarded;
    if (existing.state == request_state::kResponded) return ledger_fate::kResponded;
    if (existing.state == request_state::kArrived && except_waiting) return ledger_fate::kWaiting;
    existing = {request_state::kFenced, now + kFenceRetention};
    return ledger_fate::kNeverForwarded;
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
