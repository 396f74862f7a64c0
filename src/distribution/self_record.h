#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <vector>

#include "membership/member.h"

namespace catkinmoor {

/// Shared state: this daemon's own member record. Only this daemon raises the record's incarnation
/// and sequence, so it can always refute what others announce about it. Thread-safe.
class self_record {
 public:
  explicit self_record(member_record initial) : record_(std::move(initial)) {}

  member_record Get() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return record_;
  }

  /// Changes the record and increments its sequence. Returns the new record.
  template <typename Change>
  member_record Update(Change&& change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change(record_);
    ++record_.version.sequence;
    return record_;
  }

  /// Whether an incarnation is or was that of this process. Requests that others sent to an earlier
  /// one of its incarnations are still its own.
  bool IsOwn(std::uint64_t incarnation) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return incarnation == record_.version.incarnation ||
           std::find(former_incarnations_.begin(), former_incarnations_.end(), incarnation) !=
               former_incarnations_.end();
  }

  /// Refutes a version of this daemon's record that others announced. Returns true if the
  /// sequence had to be raised above it, so that the record must be spread.
  bool Refute(const member_version& announced) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (announced <= record_.version) return false;
    // A later incarnation is that of a predecessor whose clock was ahead. Under the same one, this
    // daemon would answer for requests that the predecessor forwarded.
    if (announced.incarnation > record_.version.incarnation) {
      former_incarnations_.push_back(record_.version.incarnation);
      record_.version.incarnation = announced.incarnation + 1;
    }
    record_.version.sequence = std::max(record_.version.sequence, announced.sequence) + 1;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  member_record record_;
  std::vector<std::uint64_t> former_incarnations_;
};

}  // namespace catkinmoor
