#include "admission/request_ledger.h"

namespace catkinmoor {

arrival request_ledger::Arrive(const std::string& request_id, milliseconds retention,
                               time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{stage::kArrived, now + retention});
    if (added) return arrival::kNew;
    return found->second.reached == stage::kFenced ? arrival::kFenced : arrival::kDuplicate;
  });
}

bool request_ledger::TryHand(const std::string& request_id) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found == entries.end() || found->second.reached != stage::kArrived) return false;
    found->second.reached = stage::kHanded;
    return true;
  });
}

void request_ledger::Answered(const std::string& request_id) {
  entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    if (found != entries.end()) found->second.reached = stage::kAnswered;
    return 0;
  });
}

void request_ledger::TurnAway(const std::string& request_id) {
  entries_.With(request_id, [&](auto& entries) {
    const auto found = entries.find(request_id);
    const bool waits = found != entries.end() && found->second.reached == stage::kArrived;
    if (waits) found->second.reached = stage::kFenced;
    return 0;
  });
}

ledger_fate request_ledger::Fence(const std::string& request_id, bool spare_waiting,
                                  time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{stage::kFenced, now + kFenceRetention});
    entry& held = found->second;
    if (held.reached == stage::kHanded) return ledger_fate::kHanded;
    if (held.reached == stage::kAnswered) return ledger_fate::kAnswered;
    if (held.reached == stage::kArrived && spare_waiting) return ledger_fate::kWaiting;
    held = {stage::kFenced, now + kFenceRetention};
    return ledger_fate::kNeverHanded;
  });
}

void request_ledger::Expire(time_point now) {
  entries_.ForEachShard([&](auto& entries) {
    std::erase_if(entries, [&](const auto& each) { return each.second.forget_at <= now; });
  });
}

std::size_t request_ledger::Size() {
  std::size_t size = 0;
  entries_.ForEachShard([&](auto& entries) { size += entries.size(); });
  return size;
}

}  // namespace catkinmoor
