#include "rollout/version_router.h"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

namespace {

using namespace catkinmoor;  // NOLINT(google-build-using-namespace)

member_ptr Target(const std::string& vm, const std::string& version,
                  const std::string& region = "r") {
  member_record record;
  record.vm = vm;
  record.region = region;
  record.target = target_announcement{"shop", vm};
  record.target->labels[kVersionLabel] = version;
  return std::make_shared<member_record>(record);
}

/// A router that has heard of an order, with two targets of each of three versions.
struct fixture {
  fixture() {
    state.order = {"shop", 7, "v2", milliseconds(12'000)};
    state.conductor = "c";
    state.epoch = 1;
  }

  void Hear(rollout_phase phase, double share) {
    state.phase = phase;
    state.share = share;
    ++state.sequence;
    board.Record(state, now);
  }

  /// How many of 100 requests go to a version.
  int CountOf(const std::string& version, bool first_attempt = true) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      const auto allowed = router.Restrict("shop", first_attempt, targets);
      const bool has = std::any_of(allowed.begin(), allowed.end(), [&](const member_ptr& each) {
        return each->target->labels.at(kVersionLabel) == version;
      });
      count += has ? 1 : 0;
    }
    return count;
  }

  time_point now{std::chrono::hours(1)};
  rollout_board board;
  version_router router{board, "r", [this] { return now; }, 1};
  rollout_state state;
  std::vector<member_ptr> targets = {Target("a", "v1"), Target("b", "v1"), Target("c", "v2"),
                                     Target("d", "v2"), Target("e", "v0"), Target("f", "v0")};
};

}  // namespace

// An entry that knows only the order must not expose the version; without other versions it may.
Test(version_router, with_an_order_and_no_conductor_uses_other_versions) {
  fixture subject;
  subject.state.conductor.clear();
  subject.Hear(rollout_phase::kOrdered, 0);
  cr_assert_eq(subject.CountOf("v2"), 0);
  subject.targets = {Target("c", "v2")};
  cr_assert_eq(subject.CountOf("v2"), 100);
}

Test(version_router, with_an_unproven_version_needs_a_grant_for_each_request) {
  fixture subject;
  subject.Hear(rollout_phase::kCanary, 0.5);
  cr_assert_eq(subject.CountOf("v2"), 0);
  subject.router.OnReply("shop", 7, {std::nullopt, 1, 5});
  cr_assert_eq(subject.CountOf("v2", false), 0);
  cr_assert_eq(subject.CountOf("v2"), 5);
  // The reply is repeated, and one of an earlier conductor arrives late.
  subject.router.OnReply("shop", 7, {std::nullopt, 1, 5});
  subject.router.OnReply("shop", 7, {std::nullopt, 0, 50});
  cr_assert_eq(subject.CountOf("v2"), 0);
}

// Another conductor does not know which grants were used.
Test(version_router, with_another_conductor_voids_earlier_grants) {
  fixture subject;
  subject.Hear(rollout_phase::kCanary, 0.5);
  subject.router.Restrict("shop", true, subject.targets);
  subject.router.OnReply("shop", 7, {std::nullopt, 1, 5});
  subject.state.epoch = 2;
  subject.Hear(rollout_phase::kCanary, 0.5);
  cr_assert_eq(subject.CountOf("v2"), 0);
}

// Unused grants are given back, once, so that entries with more requests get them.
Test(version_router, with_unused_grants_returns_all_but_one) {
  fixture subject;
  subject.Hear(rollout_phase::kCanary, 0.5);
  subject.router.MakeReport("shop");
  subject.router.OnReply("shop", 7, {std::nullopt, 1, 5});
  subject.now += milliseconds(1'600);
  subject.Hear(rollout_phase::kCanary, 0.5);
  cr_assert_eq(subject.router.MakeReport("shop")->returned, 4);
  cr_assert_eq(subject.router.MakeReport("shop")->returned, 4);
  cr_assert_eq(subject.CountOf("v2"), 1);
}

Test(version_router, without_news_of_the_conductor_uses_other_versions) {
  fixture subject;
  subject.Hear(rollout_phase::kFull, 1);
  cr_assert_eq(subject.CountOf("v1"), 0);
  subject.now += milliseconds(2'100);
  cr_assert_eq(subject.CountOf("v2"), 0);
  cr_assert_eq(subject.CountOf("v1"), 100);
}

// An entry that may have confirmed that it uses the version only does not go back by itself: the
// other targets may have stopped.
Test(version_router, after_closing_stays_with_the_version) {
  fixture subject;
  subject.Hear(rollout_phase::kClosing, 1);
  subject.router.MakeReport("shop");
  subject.now += milliseconds(10'000);
  cr_assert_eq(subject.CountOf("v1"), 0);
  subject.Hear(rollout_phase::kRolledBack, 0);
  cr_assert_eq(subject.CountOf("v2"), 0);
}

Test(version_router, after_the_end_sends_nothing_to_the_losing_version) {
  fixture subject;
  subject.Hear(rollout_phase::kSucceeded, 1);
  subject.targets = {Target("a", "v1")};
  cr_assert(subject.router.Restrict("shop", true, subject.targets).empty());
  subject.now += version_router::kFinalGrace;
  cr_assert_eq(subject.CountOf("v1"), 100);
  subject.Hear(rollout_phase::kRolledBack, 0);
  subject.targets = {Target("c", "v2")};
  cr_assert(subject.router.Restrict("shop", true, subject.targets).empty());
}

Test(version_router, with_an_excluded_version_sends_nothing_to_it) {
  fixture subject;
  subject.state.excluded = {"v0"};
  subject.Hear(rollout_phase::kHalf, 0.5);
  cr_assert_eq(subject.CountOf("v0"), 0);
}

// A target that states that it is cold is slow for that reason; its failures count.
Test(version_router, with_a_cold_target_counts_no_response_times) {
  fixture subject;
  subject.Hear(rollout_phase::kCanary, 0.5);
  member_record cold = *Target("c", "v2");
  cold.target->ready_at_ms = 10'000;
  {
    version_router::attempt slow(subject.router, "shop", "route", cold, 9'000);
    slow.OnOutcome(evidence_outcome::kSuccess, milliseconds(900));
    version_router::attempt failed(subject.router, "shop", "route", cold, 9'000);
    failed.OnOutcome(evidence_outcome::kFailure, milliseconds(5));
  }
  const auto report = subject.router.MakeReport("shop");
  const version_figures expected{2, 1, {}};
  cr_assert(report->counts == std::vector<rollout_counts>({{true, "route", expected}}));
}

// The conductor learns of requests in progress at other versions until their responses have ended.
Test(version_router, with_a_request_at_another_version_reports_it_until_it_ends) {
  fixture subject;
  subject.Hear(rollout_phase::kClosing, 1);
  {
    const version_router::attempt open(subject.router, "shop", "route", *subject.targets[0], 0);
    cr_assert_eq(subject.router.MakeReport("shop")->other_in_flight, 1);
  }
  cr_assert(subject.router.HasNews("shop"));
  cr_assert_eq(subject.router.MakeReport("shop")->other_in_flight, 0);
}

// All entries concentrate the load on the same targets, the near ones if there are any.
Test(version_router, in_the_load_phase_uses_few_targets) {
  fixture subject;
  subject.targets = {Target("a", "v1")};
  for (int i = 0; i < 10; ++i) subject.targets.push_back(Target("n" + std::to_string(i), "v2"));
  subject.targets.push_back(Target("far", "v2", "elsewhere"));
  subject.state.target_fraction = 0.2;
  subject.Hear(rollout_phase::kLoad, 0.2);
  subject.router.MakeReport("shop");
  subject.router.OnReply("shop", 7, {std::nullopt, 1, 100});
  std::set<std::string> used;
  for (int i = 0; i < 50; ++i) {
    for (const member_ptr& each : subject.router.Restrict("shop", true, subject.targets)) {
      if (each->target->labels.at(kVersionLabel) == "v2") used.insert(each->vm);
    }
  }
  cr_assert_eq(used.size(), 2);
  cr_assert(!used.contains("far"));
}
