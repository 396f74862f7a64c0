// Which connections wait and which are turned away when a daemon's bytes or connections run out.

#include "proxy/byte_budget.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

namespace {

using catkinmoor::budget_limits;
using catkinmoor::byte_budget;
using catkinmoor::holder_kind;
using catkinmoor::holder_phase;
using catkinmoor::LimitsOfProcess;
using catkinmoor::milliseconds;
using catkinmoor::time_point;

using holder_id = byte_budget::holder_id;

constexpr std::int64_t kKilobyte = 1 << 10;
constexpr std::int64_t kMegabyte = 1 << 20;
constexpr time_point kStart = time_point{} + std::chrono::hours(1);

time_point At(int ms) { return kStart + milliseconds(ms); }

/// A connection whose request has received and holds some bytes.
holder_id OpenReading(byte_budget& budget, std::int64_t bytes, time_point now,
                      holder_kind kind = holder_kind::kCaller) {
  const holder_id id = budget.Open(kind, now);
  budget.SetPhase(id, holder_phase::kReading, now);
  cr_assert(budget.TryHold(id, bytes, now));
  budget.RecordProgress(id, bytes, now);
  return id;
}

/// Opens connections that hold equal amounts until no more is granted.
std::vector<holder_id> Fill(byte_budget& budget, std::int64_t bytes, time_point now) {
  std::vector<holder_id> holders;
  for (;;) {
    const holder_id id = budget.Open(holder_kind::kCaller, now);
    budget.SetPhase(id, holder_phase::kReading, now);
    if (!budget.TryHold(id, bytes, now)) {
      budget.Close(id);
      return holders;
    }
    holders.push_back(id);
  }
}

bool Contains(const std::vector<holder_id>& holders, holder_id id) {
  return std::find(holders.begin(), holders.end(), id) != holders.end();
}

}  // namespace

Test(byte_budget, without_limits_grants_everything) {
  byte_budget budget({});
  const holder_id id = budget.Open(holder_kind::kCaller, kStart);
  cr_assert(budget.TryHold(id, 1LL << 40, kStart));
  cr_assert(budget.MayAccept());
  cr_assert(LimitsOfProcess(0, 0) == budget_limits{});
}

// The least and the most memory of a vm, and the fewest descriptors.
Test(byte_budget, of_the_vms_of_a_deployment_leaves_memory_for_the_daemon_itself) {
  for (const std::int64_t memory_mb : {88, 160, 512}) {
    const budget_limits limits = LimitsOfProcess(memory_mb, 4'100);
    cr_assert(limits.bytes >= memory_mb * kMegabyte / 8);
    cr_assert(limits.bytes <= memory_mb * kMegabyte * 6 / 10);
    cr_assert_eq(limits.connections, 1'300);
  }
}

// Load: bodies of 64 KB that fill the budget. A request with an ordinary head must still be read.
Test(byte_budget, filled_by_large_bodies_grants_small_requests_from_the_reserve) {
  byte_budget budget({8 * kMegabyte, 0});
  const auto bodies = Fill(budget, 64 * kKilobyte, kStart);
  cr_assert(bodies.size() > 50);
  const holder_id small = budget.Open(holder_kind::kCaller, kStart);
  cr_assert(budget.TryHold(small, byte_budget::kSmallHolderBytes, kStart));
  const holder_id large = budget.Open(holder_kind::kCaller, kStart);
  cr_assert(!budget.TryHold(large, byte_budget::kSmallHolderBytes + 1, kStart));
}

// Load: requests that are sent ahead behind one that takes long. They are not turned away while it
// is served, so they must not use up what other callers need.
Test(byte_budget, half_in_use_grants_nothing_for_reading_ahead) {
  byte_budget budget({8 * kMegabyte, 0});
  const holder_id ahead = budget.Open(holder_kind::kCaller, kStart);
  cr_assert(budget.TryHoldAhead(ahead, 3 * kMegabyte, kStart));
  cr_assert(!budget.TryHoldAhead(ahead, 5 * kMegabyte, kStart));
  cr_assert_eq(budget.UsedBytes(), 3 * kMegabyte);
  cr_assert(budget.TryHoldAhead(ahead, 2 * kMegabyte, kStart));
  const holder_id asking = budget.Open(holder_kind::kCaller, kStart);
  cr_assert(budget.TryHold(asking, 3 * kMegabyte, kStart));
  cr_assert(!budget.TryHoldAhead(ahead, 2 * kMegabyte + 1, kStart));
}

// Load: bodies that stopped short of their end, beside one that still arrives at an ordinary rate.
Test(byte_budget, with_stopped_and_arriving_bodies_turns_the_stopped_ones_away) {
  byte_budget budget({4 * kMegabyte, 0});
  const auto stopped = Fill(budget, 64 * kKilobyte, kStart);
  const holder_id arriving = stopped.front();
  for (int ms = 0; ms <= 1'000; ms += 100) budget.RecordProgress(arriving, 6'000, At(ms));
  const holder_id asking = budget.Open(holder_kind::kCaller, At(1'000));
  cr_assert(!budget.TryHold(asking, 64 * kKilobyte, At(1'000)));
  const auto selected = budget.SelectForBytes(asking, 64 * kKilobyte, At(1'000));
  cr_assert(!selected.empty());
  cr_assert(!Contains(selected, arriving));
  for (const holder_id each : selected) budget.Close(each);
  cr_assert(budget.TryHold(asking, 64 * kKilobyte, At(1'000)));
}

// Load: callers that send a few bytes now and then so that they never stand still.
Test(byte_budget, with_trickling_bodies_turns_them_away_before_one_at_an_ordinary_rate) {
  byte_budget budget({4 * kMegabyte, 0});
  const auto trickling = Fill(budget, 64 * kKilobyte, kStart);
  const holder_id ordinary = trickling.back();
  for (int ms = 0; ms <= 1'000; ms += 50) {
    for (const holder_id each : trickling) budget.RecordProgress(each, 20, At(ms));
    budget.RecordProgress(ordinary, 3'000, At(ms));
  }
  const holder_id asking = budget.Open(holder_kind::kCaller, At(1'000));
  cr_assert(!budget.TryHold(asking, 64 * kKilobyte, At(1'000)));
  const auto selected = budget.SelectForBytes(asking, 64 * kKilobyte, At(1'000));
  cr_assert(!selected.empty());
  cr_assert(!Contains(selected, ordinary));
}

// Load: one large and one small stopped request. The large one is turned away first.
Test(byte_budget, with_equal_standstill_turns_the_largest_away) {
  byte_budget budget({kMegabyte, 0});
  const holder_id small = OpenReading(budget, 20 * kKilobyte, kStart);
  const holder_id large = OpenReading(budget, 600 * kKilobyte, kStart);
  const holder_id asking = budget.Open(holder_kind::kCaller, At(5'000));
  cr_assert(!budget.TryHold(asking, 300 * kKilobyte, At(5'000)));
  const auto selected = budget.SelectForBytes(asking, 300 * kKilobyte, At(5'000));
  cr_assert(Contains(selected, large));
  cr_assert(!Contains(selected, small));
}

// A refusal would be late and the request may have run.
Test(byte_budget, with_only_requests_being_served_turns_nobody_away) {
  byte_budget budget({4 * kMegabyte, 0});
  for (const holder_id each : Fill(budget, 64 * kKilobyte, kStart)) {
    budget.SetPhase(each, holder_phase::kServing, kStart);
  }
  const holder_id asking = budget.Open(holder_kind::kCaller, At(9'000));
  cr_assert(!budget.TryHold(asking, 64 * kKilobyte, At(9'000)));
  cr_assert(budget.SelectForBytes(asking, 64 * kKilobyte, At(9'000)).empty());
}

// Load: callers that begin their bodies at the same time as the budget runs out.
Test(byte_budget, with_requests_that_have_just_begun_turns_nobody_away) {
  byte_budget budget({4 * kMegabyte, 0});
  Fill(budget, 64 * kKilobyte, kStart);
  const holder_id asking = budget.Open(holder_kind::kCaller, At(100));
  cr_assert(!budget.TryHold(asking, 64 * kKilobyte, At(100)));
  cr_assert(budget.SelectForBytes(asking, 64 * kKilobyte, At(100)).empty());
}

// The daemon has stopped reading from a caller that waits, so its standstill is not its own.
Test(byte_budget, with_a_caller_that_waits_for_bytes_does_not_count_the_wait_as_standstill) {
  byte_budget budget({kMegabyte, 0});
  const holder_id waiting = OpenReading(budget, 60 * kKilobyte, kStart);
  const holder_id stopped = OpenReading(budget, 600 * kKilobyte, kStart);
  cr_assert(!budget.TryHold(waiting, 300 * kKilobyte, At(10)));
  const holder_id asking = budget.Open(holder_kind::kCaller, At(5'000));
  cr_assert(!budget.TryHold(asking, 800 * kKilobyte, At(5'000)));
  const auto selected = budget.SelectForBytes(asking, 800 * kKilobyte, At(5'000));
  cr_assert(Contains(selected, stopped));
  cr_assert(!Contains(selected, waiting));
}

// Load: hundreds of waiting callers ask at once. Each would otherwise turn others away for itself.
Test(byte_budget, asked_again_before_those_selected_are_gone_selects_no_more) {
  byte_budget budget({4 * kMegabyte, 0});
  Fill(budget, 64 * kKilobyte, kStart);
  const holder_id asking = budget.Open(holder_kind::kCaller, At(1'000));
  cr_assert(!budget.TryHold(asking, 64 * kKilobyte, At(1'000)));
  const auto first = budget.SelectForBytes(asking, 64 * kKilobyte, At(1'000));
  cr_assert(!first.empty() && first.size() < 8);
  cr_assert(budget.SelectForBytes(asking, 64 * kKilobyte, At(1'500)).empty());
  for (const holder_id each : first) budget.Deselect(each);
  cr_assert(!budget.SelectForBytes(asking, 64 * kKilobyte, At(2'000)).empty());
}

// Load: idle connections take all that callers may have. The ones idle for longest are closed.
Test(byte_budget, at_the_connection_limit_closes_the_oldest_idle_connections) {
  byte_budget budget({0, 100});
  std::vector<holder_id> idle;
  idle.reserve(100);
  for (int i = 0; i < 100; ++i) idle.push_back(budget.Open(holder_kind::kCaller, At(i)));
  cr_assert(!budget.MayAccept());
  const auto selected = budget.SelectForConnection(At(2'000));
  cr_assert(!selected.empty());
  for (std::size_t i = 0; i < selected.size(); ++i) cr_assert(Contains(selected, idle[i]));
  for (const holder_id each : selected) budget.Close(each);
  cr_assert(budget.MayAccept());
}

// Load: unfinished heads take all connections, and none is idle.
Test(byte_budget, at_the_connection_limit_without_idle_ones_closes_the_least_progress) {
  byte_budget budget({0, 3});
  const holder_id slow = OpenReading(budget, 17 * kKilobyte, At(0));
  OpenReading(budget, 17 * kKilobyte, At(4'900));
  const holder_id serving = OpenReading(budget, 17 * kKilobyte, At(0));
  budget.SetPhase(serving, holder_phase::kServing, At(0));
  const auto selected = budget.SelectForConnection(At(5'000));
  cr_assert_eq(selected.size(), 1U);
  cr_assert_eq(selected.front(), slow);
}

// Load: more unfinished heads than connections. With one closed at a time, an ordinary caller
// waited in the backlog for longer than its time limit.
Test(byte_budget, at_the_connection_limit_with_many_unfinished_heads_closes_several_at_a_time) {
  byte_budget budget({0, 100});
  for (int i = 0; i < 100; ++i) OpenReading(budget, 17 * kKilobyte, kStart);
  cr_assert(budget.SelectForConnection(At(5'000)).size() > 10);
}

// Connections of other daemons are few and carry the requests of many callers.
Test(byte_budget, of_other_daemons_connections_does_not_count_or_close_idle_ones) {
  byte_budget budget({0, 1});
  for (int i = 0; i < 5; ++i) budget.Open(holder_kind::kPeer, kStart);
  cr_assert(budget.MayAccept());
  budget.Open(holder_kind::kCaller, At(1));
  const auto selected = budget.SelectForConnection(At(5'000));
  cr_assert_eq(selected.size(), 1U);
}

// Guards against a drift of the sums, after which the budget would refuse everything or nothing.
Test(byte_budget, after_all_connections_are_closed_has_nothing_in_use) {
  byte_budget budget({4 * kMegabyte, 50});
  std::vector<holder_id> holders = Fill(budget, 64 * kKilobyte, kStart);
  const holder_id asking = budget.Open(holder_kind::kCaller, At(1'000));
  holders.push_back(asking);
  budget.TryHold(asking, 64 * kKilobyte, At(1'000));
  for (const holder_id each : budget.SelectForBytes(asking, 64 * kKilobyte, At(1'000))) {
    budget.TryHold(each, byte_budget::kIdleBytes, At(1'001));
  }
  for (const holder_id each : holders) budget.Close(each);
  cr_assert_eq(budget.UsedBytes(), 0);
  cr_assert_eq(budget.Connections(), 0);
  cr_assert(budget.MayAccept());
}
