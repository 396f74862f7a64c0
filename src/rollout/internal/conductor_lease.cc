#include "rollout/conductor_lease.h"

#include <algorithm>

namespace catkinmoor {

rollout_record SucceedingRecord(const rollout_record& previous, const rollout_order& order) {
  rollout_record record{order};
  // After a success, nothing goes to the other versions of that time any more.
  if (previous.phase != rollout_phase::kSucceeded) {
    record.excluded = previous.excluded;
    record.excluded.push_back(previous.order.target);
  }
  std::sort(record.excluded.begin(), record.excluded.end());
  record.excluded.erase(std::unique(record.excluded.begin(), record.excluded.end()),
                        record.excluded.end());
  std::erase(record.excluded, order.target);
  return record;
}

conductor_lease::step conductor_lease::Observe(const std::optional<conductor_row>& row,
                                               std::uint64_t order, const std::string& self,
                                               bool conductor_gone, time_point now) {
  if (!row) return step::kClaim;
  const rollout_record& record = row->record;
  if (record.order.number > order) return step::kWait;
  const bool finished = IsFinal(record.phase) && row->status_written;
  if (finished) return record.order.number == order ? step::kFinished : step::kClaim;
  if (seen_revision_ != row->revision) {
    seen_revision_ = row->revision;
    seen_at_ = now;
  }
  // A row that names this daemon was written by it before it restarted or lost its lease.
  const bool expired = now - seen_at_ >= kTakeover;
  return row->vm == self || expired || conductor_gone ? step::kClaim : step::kWait;
}

conductor_row conductor_lease::MakeClaim(const std::optional<conductor_row>& row,
                                         const rollout_order& order, const std::string& self,
                                         time_point now) const {
  conductor_row claim;
  claim.vm = self;
  claim.epoch = 1;
  claim.record.order = order;
  if (!row) return claim;
  claim.epoch = row->epoch + 1;
  claim.revision = row->revision;
  if (row->record.order.number != order.number) {
    claim.record = SucceedingRecord(row->record, order);
    return claim;
  }
  claim.record = row->record;
  const bool observed = seen_revision_ == row->revision;
  if (observed) {
    claim.record.elapsed += std::chrono::duration_cast<milliseconds>(now - seen_at_);
  }
  return claim;
}

}  // namespace catkinmoor
