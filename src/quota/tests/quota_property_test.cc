#include <rapidcheck.h>

#include "quota_fleet.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::milliseconds;
using catkinmoor::quota_fleet;
using catkinmoor::workspace;

workspace Limited(std::string name, double rate, double burst) {
  workspace made;
  made.name = std::move(name);
  made.requests_per_second = rate;
  made.burst = burst;
  return made;
}

constexpr int kDaemons = 5;

/// Lets one random fault happen at a random time.
void AddFault(quota_fleet& fleet) {
  const milliseconds at(*rc::gen::inRange(4'000, 20'000));
  const milliseconds lasts(*rc::gen::inRange(100, 8'000));
  const auto daemon = static_cast<std::size_t>(*rc::gen::inRange(0, kDaemons));
  const auto other = static_cast<std::size_t>(*rc::gen::inRange(0, kDaemons));
  const int kind = *rc::gen::inRange(0, 10);
  const bool at_authority = *rc::gen::arbitrary<bool>();
  fleet.At(at, [&fleet, at, lasts, daemon, other, kind, at_authority] {
    const std::size_t chosen = at_authority ? fleet.Authority().value_or(daemon) : daemon;
    switch (kind) {
      case 0:
        fleet.Pause(chosen, lasts);
        return;
      case 1:
        fleet.Restart(chosen);
        return;
      case 2:
        fleet.Release(chosen);
        return;
      case 3:
        fleet.RestoreStore();
        return;
      case 4:
        for (std::size_t i = 0; i < kDaemons; ++i) fleet.store_refuses.insert(i);
        fleet.At(at + lasts, [&fleet] { fleet.store_refuses.clear(); });
        return;
      case 5:
        fleet.store_refuses.insert(chosen);
        fleet.At(at + lasts, [&fleet, chosen] { fleet.store_refuses.erase(chosen); });
        return;
      case 6:
        fleet.cut_links.insert({chosen, other});
        fleet.At(at + lasts, [&fleet, chosen, other] { fleet.cut_links.erase({chosen, other}); });
        return;
      case 7:
        fleet.max_message_delay = milliseconds(3'000);
        fleet.At(at + lasts, [&fleet] { fleet.max_message_delay = milliseconds(2); });
        return;
      case 8:
        fleet.RestoreStore();
        fleet.Restart(chosen);
        return;
      default:
        fleet.message_loss = 0.3;
        fleet.message_repeat = 0.3;
        fleet.lost_answers = 0.3;
        fleet.delayed_writes = 0.3;
        fleet.At(at + lasts, [&fleet] {
          fleet.message_loss = 0;
          fleet.message_repeat = 0;
          fleet.lost_answers = 0;
          fleet.delayed_writes = 0;
        });
    }
  });
}

void CheckWindowedSum() {
  const double rate = *rc::gen::inRange(5, 200);
  const double burst = *rc::gen::inRange(0, 200);
  const double load = rate * *rc::gen::inRange(1, 8);
  quota_fleet fleet({.daemons = kDaemons,
                     .workspaces = {Limited("a", rate, burst)},
                     .era_known = *rc::gen::arbitrary<bool>(),
                     .seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1 << 30))});
  const int faults = *rc::gen::inRange(1, 7);
  for (int i = 0; i < faults; ++i) AddFault(fleet);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    // Callers come and go, so that permits are held and then used together.
    for (int from = 4'000; from < 26'000; from += 2'000) {
      if (*rc::gen::arbitrary<bool>()) continue;
      fleet.SendLoad(i, "a", load / kDaemons, milliseconds(from), milliseconds(from + 2'000));
    }
  }
  fleet.RunUntil(milliseconds(27'000));
  RC_ASSERT(fleet.LargestWindow("a", milliseconds(0)) <= fleet.Bound("a"));
  RC_ASSERT(fleet.MostAuthorities() <= 1U);
}

void CheckCalmLoadIsAdmitted() {
  const double rate = *rc::gen::inRange(5, 200);
  quota_fleet fleet({.daemons = kDaemons,
                     .workspaces = {Limited("a", 1.6 * rate, 0.8 * rate)},
                     .seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1 << 30))});
  for (std::size_t i = 0; i < kDaemons; ++i) {
    fleet.SendLoad(i, "a", rate / kDaemons, milliseconds(8'000), milliseconds(26'000));
  }
  fleet.RunUntil(milliseconds(27'000));
  const auto counts = fleet.Count("a", milliseconds(16'000), milliseconds(26'000));
  RC_ASSERT(counts.over_limit + counts.no_authority <= 0.01 * counts.admitted);
}

}  // namespace

// Failures: lost, delayed and repeated messages, pauses, restarts, changes of the authority,
// outages of the store, and a table that goes back and gives out its revisions again.
Test(quota_property, of_the_windowed_sum_over_all_daemons_holds_with_any_schedule_of_faults) {
  cr_assert(rc::check(CheckWindowedSum));
}

Test(quota_property, of_requests_within_the_limit_in_calm_conditions_is_that_they_are_admitted) {
  cr_assert(rc::check(CheckCalmLoadIsAdmitted));
}
