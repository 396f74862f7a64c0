#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

#include "membership/failure_detector.h"
#include "membership/member_table.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::failure_detector;
using catkinmoor::member_record;
using catkinmoor::member_state;
using catkinmoor::member_table;
using catkinmoor::merge_outcome;
using catkinmoor::milliseconds;
using catkinmoor::target_announcement;
using catkinmoor::target_state;
using catkinmoor::time_point;

member_record Record(const std::string& vm, std::uint64_t incarnation, std::uint64_t sequence,
                     member_state state = member_state::kAlive) {
  member_record record;
  record.vm = vm;
  record.region = "puget";
  record.data_centre = "puget-1";
  record.version = {incarnation, sequence, state};
  return record;
}

member_record RecordWithTarget(const std::string& vm, target_state state) {
  member_record record = Record(vm, 1, 1);
  record.target = target_announcement{"slotboard", "i", {}, state, 10, 130, 0};
  return record;
}

std::vector<member_record> GenerateRecords() {
  return *rc::gen::container<std::vector<member_record>>(rc::gen::apply(
      [](int vm, int incarnation, int sequence, int state) {
        return Record("vm" + std::to_string(vm), incarnation, sequence,
                      static_cast<member_state>(state));
      },
      rc::gen::inRange(0, 6), rc::gen::inRange(1, 4), rc::gen::inRange(0, 4),
      rc::gen::inRange(0, 4)));
}

}  // namespace

Test(member_table, merging_records_in_any_order_ends_with_the_highest_versions) {
  cr_assert(rc::check([] {
    const auto records = GenerateRecords();
    auto shuffled = records;
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    member_table first;
    member_table second;
    std::map<std::string, catkinmoor::member_version> expected;
    for (const auto& each : records) {
      first.Merge(each);
      expected[each.vm] = std::max(expected[each.vm], each.version);
    }
    for (const auto& each : shuffled) second.Merge(each);
    for (const auto& [vm, version] : expected) {
      RC_ASSERT(first.Find(vm)->version == version);
      RC_ASSERT(second.Find(vm)->version == version);
    }
    for (std::size_t i = 0; i < member_table::kBuckets; ++i) {
      RC_ASSERT(first.BucketHash(i) == second.BucketHash(i));
    }
  }));
}

Test(member_table, with_a_leaving_target_no_longer_lists_it) {
  member_table table;
  table.Merge(RecordWithTarget("vm1", target_state::kReady));
  cr_assert(table.TargetsOf("slotboard").size() == 1);
  member_record leaving = RecordWithTarget("vm1", target_state::kLeaving);
  leaving.version.sequence = 2;
  cr_assert(table.Merge(leaving) == merge_outcome::kNewer);
  cr_assert(table.TargetsOf("slotboard").empty());
}

Test(member_table, with_a_dead_member_no_longer_lists_its_target) {
  member_table table;
  member_record record = RecordWithTarget("vm1", target_state::kReady);
  table.Merge(record);
  record.version.state = member_state::kDead;
  table.Merge(record);
  cr_assert(table.TargetsOf("slotboard").empty());
  cr_assert(table.View()->data_centres.empty());
}

Test(failure_detector, with_failed_probes_suspects_first_and_declares_dead_after_the_timeout) {
  member_table table;
  table.Merge(Record("a", 1, 1));
  table.Merge(Record("b", 1, 1));
  failure_detector detector("a", {.suspicion_timeout = milliseconds(2'000)});
  const time_point start{};
  const auto suspected = detector.OnProbeFailed(*table.Find("b"), start);
  cr_assert(suspected.size() == 1);
  cr_assert(suspected.front().version.state == member_state::kSuspect);
  cr_assert(detector.ExpireSuspicions(table, start + milliseconds(1'999)).empty());
  const auto dead = detector.ExpireSuspicions(table, start + milliseconds(2'000));
  cr_assert(dead.size() == 1);
  cr_assert(dead.front().version.state == member_state::kDead);
}

Test(failure_detector, with_a_suspect_that_refutes_declares_nobody_dead) {
  member_table table;
  table.Merge(Record("b", 1, 1));
  failure_detector detector("a", {.suspicion_timeout = milliseconds(2'000)});
  detector.OnProbeFailed(*table.Find("b"), time_point{});
  table.Merge(Record("b", 1, 2));
  cr_assert(detector.ExpireSuspicions(table, time_point{} + milliseconds(10'000)).empty());
}

Test(failure_detector, in_a_large_data_centre_watches_a_bounded_number) {
  member_table table;
  for (int i = 0; i < 400; ++i) table.Merge(Record("vm" + std::to_string(i), 1, 1));
  failure_detector detector("vm7", {});
  std::set<std::string> probed;
  for (int i = 0; i < 100; ++i) probed.insert(detector.NextToProbe(*table.View(), "puget-1")->vm);
  cr_assert(probed.size() == 3);
  cr_assert(!probed.contains("vm7"));
}

Test(failure_detector, on_a_whole_ring_has_every_member_watched_by_three) {
  member_table table;
  for (int i = 0; i < 50; ++i) table.Merge(Record("vm" + std::to_string(i), 1, 1));
  std::map<std::string, int> watchers;
  for (int i = 0; i < 50; ++i) {
    for (const auto& each : Successors(*table.View(), "puget-1", "vm" + std::to_string(i), 3)) {
      ++watchers[each->vm];
    }
  }
  cr_assert(watchers.size() == 50);
  for (const auto& [vm, count] : watchers) cr_assert(count == 3);
}
