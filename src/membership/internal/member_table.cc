#include "membership/member_table.h"

#include <algorithm>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

std::uint64_t VersionHash(const member_record& record) {
  const std::string text = record.vm + "/" + std::to_string(record.version.incarnation) + "/" +
                           std::to_string(record.version.sequence) + "/" +
                           std::to_string(static_cast<int>(record.version.state));
  return StableHash(text);
}

/// Sorts members by ring position, computing each hash once.
void SortByRing(std::vector<member_ptr>& members) {
  std::vector<std::pair<std::uint64_t, member_ptr>> positioned;
  positioned.reserve(members.size());
  for (member_ptr& each : members) {
    const std::uint64_t position = RingPosition(each->vm);
    positioned.emplace_back(position, std::move(each));
  }
  std::sort(positioned.begin(), positioned.end(), [](const auto& left, const auto& right) {
    return std::tie(left.first, left.second->vm) < std::tie(right.first, right.second->vm);
  });
  for (std::size_t i = 0; i < positioned.size(); ++i) members[i] = std::move(positioned[i].second);
}

member_view_ptr BuildView(const std::map<std::string, member_ptr>& all) {
  auto view = std::make_shared<member_view>();
  view->all = all;
  for (const auto& [vm, record] : all) {
    if (!IsPresent(*record)) continue;
    auto& members = view->data_centres[record->data_centre];
    if (members.empty()) view->regions[record->region].push_back(record->data_centre);
    members.push_back(record);
  }
  for (auto& [name, members] : view->data_centres) SortByRing(members);
  return view;
}

}  // namespace

const char* StateName(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kDead:
      return "dead";
    case member_state::kLeft:
      break;
  }
  return "left";
}

const char* StateName(target_state state) {
  switch (state) {
    case target_state::kStarting:
      return "starting";
    case target_state::kReady:
      return "ready";
    case target_state::kLeaving:
      break;
  }
  return "leaving";
}

std::uint64_t RingPosition(const std::string& vm) { return StableHash(vm); }

std::vector<member_ptr> Successors(const member_view& view, const std::string& data_centre,
                                   const std::string& vm, std::size_t count) {
  std::vector<member_ptr> next;
  const auto found = view.data_centres.find(data_centre);
  if (found == view.data_centres.end()) return next;
  const auto& ring = found->second;
  const auto position = std::pair(RingPosition(vm), vm);
  const auto start = std::partition_point(ring.begin(), ring.end(), [&](const member_ptr& each) {
    return std::pair(RingPosition(each->vm), each->vm) <= position;
  });
  for (std::size_t i = 0; i < ring.size() && next.size() < count; ++i) {
    const std::size_t offset = static_cast<std::size_t>(start - ring.begin()) + i;
    const member_ptr& each = ring[offset % ring.size()];
    if (each->vm != vm) next.push_back(each);
  }
  return next;
}

std::size_t member_table::BucketOf(const std::string& vm) { return StableHash(vm, 1) % kBuckets; }

merge_outcome member_table::Merge(const member_record& record) {
  const std::unique_lock<std::shared_mutex> lock(mutex_);
  auto& held = records_[record.vm];
  if (held.record != nullptr) {
    if (held.record->version == record.version) return merge_outcome::kAlreadyHeld;
    if (record.version < held.record->version) return merge_outcome::kOlder;
    bucket_hashes_[BucketOf(record.vm)] ^= VersionHash(*held.record);
    RemoveFromService(*held.record);
  }
  held.record = std::make_shared<const member_record>(record);
  held.since = Now();
  bucket_hashes_[BucketOf(record.vm)] ^= VersionHash(record);
  AddToService(held.record);
  view_ = nullptr;
  return merge_outcome::kNewer;
}

member_ptr member_table::Find(const std::string& vm) const {
  const std::shared_lock<std::shared_mutex> lock(mutex_);
  const auto found = records_.find(vm);
  return found == records_.end() ? nullptr : found->second.record;
}

member_view_ptr member_table::View() const {
  {
    const std::shared_lock<std::shared_mutex> lock(mutex_);
    if (view_ != nullptr) return view_;
  }
  const std::unique_lock<std::shared_mutex> lock(mutex_);
  if (view_ == nullptr) {
    std::map<std::string, member_ptr> all;
    for (const auto& [vm, held] : records_) all.emplace(vm, held.record);
    view_ = BuildView(all);
  }
  return view_;
}

std::vector<member_ptr> member_table::TargetsOf(const std::string& service) const {
  const std::shared_lock<std::shared_mutex> lock(mutex_);
  std::vector<member_ptr> members;
  const auto found = targets_by_service_.find(service);
  if (found == targets_by_service_.end()) return members;
  members.reserve(found->second.size());
  for (const auto& [vm, record] : found->second) members.push_back(record);
  return members;
}

std::uint64_t member_table::BucketHash(std::size_t bucket) const {
  const std::shared_lock<std::shared_mutex> lock(mutex_);
  return bucket_hashes_[bucket];
}

void member_table::Purge(time_point now, milliseconds age) {
  const std::unique_lock<std::shared_mutex> lock(mutex_);
  for (auto next = records_.begin(); next != records_.end();) {
    const held_record& held = next->second;
    if (!IsPresent(*held.record) && now - held.since > age) {
      bucket_hashes_[BucketOf(next->first)] ^= VersionHash(*held.record);
      next = records_.erase(next);
      view_ = nullptr;
    } else {
      ++next;
    }
  }
}

void member_table::RemoveFromService(const member_record& record) {
  if (!record.target) return;
  const auto found = targets_by_service_.find(record.target->service);
  if (found == targets_by_service_.end()) return;
  found->second.erase(record.vm);
  if (found->second.empty()) targets_by_service_.erase(found);
}

void member_table::AddToService(const member_ptr& record) {
  const bool accepts_requests =
      IsPresent(*record) && record->target && record->target->state != target_state::kLeaving;
  if (accepts_requests) targets_by_service_[record->target->service][record->vm] = record;
}

}  // namespace catkinmoor
