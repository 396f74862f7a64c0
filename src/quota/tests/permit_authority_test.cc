#include "quota/permit_authority.h"

#include <rapidcheck.h>

#include <algorithm>

#include <criterion/criterion.h>

namespace {

using catkinmoor::boot_time_point;
using catkinmoor::kPermitValidity;
using catkinmoor::milliseconds;
using catkinmoor::permit_ask;
using catkinmoor::permit_authority;
using catkinmoor::permit_reply;
using catkinmoor::permit_settlement;
using catkinmoor::permit_verdict;
using catkinmoor::predecessor_state;
using catkinmoor::workspace;

constexpr boot_time_point kStart{std::chrono::hours(1)};
/// Time for which a request that took its permit last may take to reach a target.
constexpr milliseconds kRunDelay{1'900};

/// What a holder knows of a grant: permits that it may still use, or whose requests may still run.
struct usable_grant {
  std::uint64_t id = 0;
  boot_time_point asked_at;
  std::uint32_t permits = 0;
};

permit_ask Ask(std::uint64_t sequence, std::uint32_t wanted,
               std::vector<permit_settlement> settlements = {}) {
  return {"h", 1, sequence, "a", 1, {{"w", 5, wanted, std::move(settlements)}}};
}

workspace Limited(double rate, double burst) {
  workspace made;
  made.name = "w";
  made.requests_per_second = rate;
  made.burst = burst;
  return made;
}

/// One holder asks, uses, returns and reports at random. Its messages and the replies may be lost,
/// repeated and late.
void CheckUsablePermitsFitTheCapacity() {
  permit_authority authority("a", 1, {milliseconds(5'000), 0.1, 20}, predecessor_state::kSettled,
                             kStart);
  authority.SetLimits({Limited(20, 20)}, kStart);
  std::vector<usable_grant> usable;
  std::vector<permit_ask> sent;
  boot_time_point now = kStart;
  for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
    now += milliseconds(*rc::gen::inRange(1, 500));
    const boot_time_point asked_at = now;
    permit_ask ask = Ask(sequence, static_cast<std::uint32_t>(*rc::gen::inRange(0, 60)));
    for (usable_grant& each : usable) {
      if (*rc::gen::inRange(0, 3) != 0) continue;
      const auto settled = static_cast<std::uint32_t>(
          *rc::gen::inRange<std::uint64_t>(0, std::uint64_t{each.permits} + 1));
      each.permits -= settled;
      const bool used = *rc::gen::arbitrary<bool>();
      ask.workspaces[0].settlements.push_back({each.id, used ? settled : 0, used ? 0 : settled});
    }
    sent.push_back(ask);
    now += milliseconds(*rc::gen::inRange(1, 1'000));
    // 0: the message is lost; 1: an earlier one is repeated; 2: the reply is lost; else all is
    // well.
    const int fate = *rc::gen::inRange(0, 6);
    if (fate == 1) authority.Answer(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], now);
    if (fate >= 2) {
      const permit_reply reply = authority.Answer(ask, now);
      const bool taken = fate > 2 && reply.verdict == permit_verdict::kAnswered;
      if (taken) usable.push_back({sequence, asked_at, reply.grants[0].granted});
    }
    std::erase_if(usable, [&](const usable_grant& each) {
      return each.permits == 0 || each.asked_at + kPermitValidity + kRunDelay <= now;
    });
    std::uint32_t permits = 0;
    for (const usable_grant& each : usable) permits += each.permits;
    const auto level = authority.Levels(now).front();
    RC_ASSERT(permits <= level.outstanding);
    RC_ASSERT(level.level + level.outstanding <= level.capacity + 1e-6);
  }
}

}  // namespace

// Failures: lost, repeated and late messages. Whatever a holder may still use is outstanding.
Test(permit_authority, counts_every_usable_permit_as_outstanding_within_the_capacity) {
  cr_assert(rc::check(CheckUsablePermitsFitTheCapacity));
}

// Failure: a message arrives twice.
Test(permit_authority, that_gets_a_message_twice_grants_and_returns_once) {
  permit_authority authority("a", 1, {milliseconds(5'000), 0.1, 20}, predecessor_state::kSettled,
                             kStart);
  authority.SetLimits({Limited(20, 20)}, kStart);
  const boot_time_point now = kStart + milliseconds(10'000);
  cr_assert_eq(authority.Answer(Ask(1, 10), now).grants[0].granted, 10U);
  const permit_ask returning = Ask(2, 0, {{1, 0, 4}});
  cr_assert(authority.Answer(returning, now).verdict == permit_verdict::kAnswered);
  cr_assert(authority.Answer(returning, now).verdict == permit_verdict::kOutOfOrder);
  cr_assert(authority.Answer(Ask(1, 10), now).verdict == permit_verdict::kOutOfOrder);
  cr_assert_eq(authority.Levels(now).front().outstanding, 6);
}

// Failure: the address of a vm that is gone was given to another, or the authority has changed.
Test(permit_authority, that_gets_a_message_for_another_vm_or_epoch_grants_nothing) {
  permit_authority authority("a", 2, {milliseconds(5'000), 0.1, 20}, predecessor_state::kSettled,
                             kStart);
  authority.SetLimits({Limited(20, 20)}, kStart);
  const boot_time_point now = kStart + milliseconds(10'000);
  permit_ask ask = Ask(1, 10);
  cr_assert(authority.Answer(ask, now).verdict == permit_verdict::kOtherEpoch);
  ask.epoch = 2;
  ask.recipient = "b";
  cr_assert(authority.Answer(ask, now).verdict == permit_verdict::kNotAuthority);
  cr_assert_eq(authority.Levels(now).front().outstanding, 0);
}

// Failure: the authority changed. The permits of the epoch before may still be used.
Test(permit_authority, of_a_new_epoch_leaves_room_for_the_permits_before_it) {
  for (const auto predecessor : {predecessor_state::kSettled, predecessor_state::kUnsettled}) {
    permit_authority authority("a", 1, {milliseconds(5'000), 0.1, 20}, predecessor, kStart);
    authority.SetLimits({Limited(20, 20)}, kStart);
    cr_assert_eq(authority.Answer(Ask(1, 10), kStart).grants[0].granted, 0U);
    const auto early = authority.Answer(Ask(2, 100), kStart + milliseconds(4'000));
    // The capacity is 52.
    const std::uint32_t most = predecessor == predecessor_state::kSettled ? 15 : 0;
    cr_assert(early.grants[0].granted <= most);
    cr_assert(!early.grants[0].over_limit);
    cr_assert(authority.Answer(Ask(3, 100), kStart + milliseconds(8'000)).grants[0].granted > 15);
  }
}
