#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

#include "framework/base/sharded_map.h"
#include "membership/member.h"

namespace catkinmoor {

/// An immutable snapshot of all members, arranged for planning distribution. Obtaining one is
/// cheap; a new one is built only after a change.
struct member_view {
  /// Members that are present, by data centre, each in the order of their ring positions.
  std::map<std::string, std::vector<member_ptr>> data_centres;

  /// Data centres of each region.
  std::map<std::string, std::vector<std::string>> regions;

  /// All known members by vm, including those that are dead or have left.
  std::map<std::string, member_ptr> all;
};

using member_view_ptr = std::shared_ptr<const member_view>;

/// The position of a vm on the ring of its data centre.
std::uint64_t RingPosition(const std::string& vm);

/// Up to `count` members that follow `vm` on the ring of the data centre, nearest first, without
/// `vm` itself.
std::vector<member_ptr> Successors(const member_view& view, const std::string& data_centre,
                                   const std::string& vm, std::size_t count);

/// Result of merging one record.
enum class merge_outcome { kNewer, kAlreadyHeld, kOlder };

/// Shared state: the newest member record of each vm. Merging keeps the highest version, so records
/// may arrive in any order and any number of times. Thread-safe.
class member_table {
 public:
  /// Keeps the record if it is newer than the one held.
  merge_outcome Merge(const member_record& record);

  /// The record of a vm, or null.
  member_ptr Find(const std::string& vm) const;

  /// The current snapshot.
  member_view_ptr View() const;

  /// The ready or starting targets of a service, on members that are present.
  std::vector<member_ptr> TargetsOf(const std::string& service) const;

  /// Order-independent hash over (vm, version) of all records in one bucket.
  std::uint64_t BucketHash(std::size_t bucket) const;

  /// Removes members that are dead or have left and whose record has not changed for longer than
  /// `age`.
  void Purge(time_point now, milliseconds age);

  static constexpr std::size_t kBuckets = 64;
  static std::size_t BucketOf(const std::string& vm);

 private:
  struct held_record {
    member_ptr record;
    time_point since;
  };

  void RemoveFromService(const member_record& record);
  void AddToService(const member_ptr& record);

  mutable std::shared_mutex mutex_;
  std::map<std::string, held_record> records_;
  std::map<std::string, std::map<std::string, member_ptr>> targets_by_service_;
  std::uint64_t bucket_hashes_[kBuckets] = {};
  mutable member_view_ptr view_;
};

}  // namespace catkinmoor
