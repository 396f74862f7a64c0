#include "admission/request_ledger.h"

namespace catkinmoor {

hand_outcome request_ledger::TryHand(const std::string& request_id, milliseconds retention,
                                     time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] = entries.try_emplace(request_id, entry{true, now + retention});
    if (added) return hand_outcome::kHanded;
    return found->second.handed ? hand_outcome::kDuplicate : hand_outcome::kFenced;
  });
}

ledger_fate request_ledger::Fence(const std::string& request_id, time_point now) {
  return entries_.With(request_id, [&](auto& entries) {
    const auto [found, added] =
        entries.try_emplace(request_id, entry{false, now + kFenceRetention});
    return found->second.handed ? ledger_fate::kHanded : ledger_fate::kNeverHanded;
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
