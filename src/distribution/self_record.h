#pragma once

#include <mutex>

#include "membership/member.h"

namespace catkinmoor {

/// The blackboard entry for this daemon's own record. Only its owner raises incarnation and
/// sequence, so statements of others can always be refuted.
class self_record {
 public:
  explicit self_record(member_record initial) : record_(std::move(initial)) {}

  member_record Get() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return record_;
  }

  /// Changes the record and raises its sequence. Yields the new record.
  template <typename Change>
  member_record Update(Change&& change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change(record_);
    ++record_.version.sequence;
    return record_;
  }

  /// Answers a statement about this daemon made by others. Yields true when the record had to be
  /// raised above it and must be spread.
  bool Refute(const member_version& stated) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stated <= record_.version) return false;
    record_.version.incarnation = std::max(record_.version.incarnation, stated.incarnation);
    record_.version.sequence = std::max(record_.version.sequence, stated.sequence) + 1;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  member_record record_;
};

}  // namespace catkinmoor
