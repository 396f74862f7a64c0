#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "routing/retry_budget.h"
#include "routing/retry_policy.h"
#include "routing/route_matcher.h"
#include "routing/target_selector.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::attempt_outcome;
using catkinmoor::attempt_state;
using catkinmoor::document;
using catkinmoor::EligibleTargets;
using catkinmoor::FindRoute;
using catkinmoor::load_board;
using catkinmoor::member_ptr;
using catkinmoor::member_record;
using catkinmoor::member_state;
using catkinmoor::milliseconds;
using catkinmoor::next_step;
using catkinmoor::PickSplit;
using catkinmoor::PickTarget;
using catkinmoor::retry_budget;
using catkinmoor::retry_budget_settings;
using catkinmoor::retry_kind;
using catkinmoor::route;
using catkinmoor::route_mismatch;
using catkinmoor::selection_context;
using catkinmoor::target_announcement;
using catkinmoor::target_state;
using catkinmoor::time_point;

member_ptr Target(const std::string& vm, const std::string& region, const std::string& data_centre,
                  target_state state = target_state::kReady) {
  member_record record;
  record.vm = vm;
  record.region = region;
  record.data_centre = data_centre;
  record.version = {1, 1, member_state::kAlive};
  record.target =
      target_announcement{"slotboard", "i-" + vm, {{"track", "stable"}}, state, 10, 130, 0};
  return std::make_shared<const member_record>(record);
}

document SlotboardDocument() {
  document content;
  content.service = "slotboard";
  content.routes = {route{.name = "hold", .match = {{"POST"}, "/holds", "", {}}},
                    route{.name = "staff",
                          .match = {{"GET"}, "/staff", "", {}},
                          .callers = catkinmoor::caller_scope::kInternal},
                    route{.name = "browse", .match = {{"GET"}, "/", "", {}}, .repeatable = true}};
  return content;
}

std::string MatchedRoute(const document& content, std::string_view method, std::string_view path,
                         bool internal = false) {
  const catkinmoor::parsed_document active{{}, content, catkinmoor::BuildHostIndex(content)};
  const auto found = FindRoute(
      active, {method, path, [](std::string_view) { return std::string_view(); }, internal});
  const auto* chosen = std::get_if<const route*>(&found);
  if (chosen != nullptr) return (*chosen)->name;
  return std::to_string(static_cast<int>(std::get<route_mismatch>(found)));
}

selection_context ContextIn(const std::string& region, const std::string& data_centre) {
  return {"self", region, data_centre, {}, time_point{} + milliseconds(1), 0};
}

}  // namespace

Test(route_matcher, with_several_routes_takes_the_first_that_matches) {
  const document content = SlotboardDocument();
  cr_assert(MatchedRoute(content, "POST", "/holds/1") == "hold");
  cr_assert(MatchedRoute(content, "GET", "/slots") == "browse");
  cr_assert(MatchedRoute(content, "HEAD", "/slots") == "browse");
  cr_assert(MatchedRoute(content, "GET", "/staff/x", true) == "staff");
}

Test(route_matcher, without_a_match_reports_the_reason) {
  const document content = SlotboardDocument();
  cr_assert(MatchedRoute(content, "DELETE", "/slots") == "1");
  cr_assert(MatchedRoute(content, "GET", "/staff/x") == "2");
  document empty = content;
  empty.routes.pop_back();
  cr_assert(MatchedRoute(empty, "GET", "/other") == "0");
}

Test(eligible_targets, not_ready_or_of_another_service_region_or_label_are_excluded) {
  document content = SlotboardDocument();
  content.targets.regions = {"puget"};
  content.targets.labels = {{"track", "stable"}};
  auto other = std::make_shared<member_record>(*Target("e", "puget", "p1"));
  other->target->service = "bookdesk";
  auto canary = std::make_shared<member_record>(*Target("f", "puget", "p1"));
  canary->target->labels = {{"track", "canary"}};
  auto dead = std::make_shared<member_record>(*Target("g", "puget", "p1"));
  dead->version.state = member_state::kDead;
  const std::vector<member_ptr> announced = {Target("a", "puget", "p1"),
                                             Target("b", "inland", "i1"),
                                             Target("c", "puget", "p1", target_state::kLeaving),
                                             Target("d", "puget", "p1", target_state::kStarting),
                                             other,
                                             canary,
                                             dead};
  const auto eligible = EligibleTargets(content, {}, announced);
  cr_assert(eligible.size() == 1);
  cr_assert(eligible.front()->vm == "a");
}

Test(pick_target, with_targets_at_several_distances_takes_the_nearest_not_yet_tried) {
  const document content = SlotboardDocument();
  const std::vector<member_ptr> eligible = {Target("a", "puget", "p1"), Target("b", "puget", "p2"),
                                            Target("c", "inland", "i1")};
  load_board loads;
  std::mt19937_64 random(1);
  selection_context context = ContextIn("puget", "p1");
  for (const char* expected : {"a", "b", "c"}) {
    const auto chosen =
        PickTarget(eligible, content, content.routes.front(), context, loads, random);
    cr_assert(chosen->vm == expected);
    context.tried_vms.insert(chosen->vm);
  }
  cr_assert(PickTarget(eligible, content, content.routes.front(), context, loads, random) ==
            nullptr);
}

Test(pick_target, with_one_target_ejected_takes_the_other) {
  const document content = SlotboardDocument();
  const std::vector<member_ptr> eligible = {Target("a", "puget", "p1"), Target("b", "puget", "p1")};
  load_board loads;
  std::mt19937_64 random(1);
  const selection_context context = ContextIn("puget", "p1");
  loads.OnConnectionFailure("a", context.now);
  for (int i = 0; i < 50; ++i) {
    cr_assert(PickTarget(eligible, content, content.routes.front(), context, loads, random)->vm ==
              "b");
  }
}

// Guards against DRAIN of issue 26: a daemon that has passed on a response that says that its
// target is leaving sends it nothing more, also when the gate beside it has forgotten that.
Test(pick_target, of_a_target_that_stated_that_it_leaves_is_not_picked_until_it_starts_again) {
  const document content = SlotboardDocument();
  for (const int size : {2, 18, 96}) {
    std::mt19937_64 random(1);
    load_board loads;
    std::vector<member_ptr> members;
    members.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) members.push_back(Target("vm-" + std::to_string(i), "r", "d"));
    loads.OnLeaving(members[0]->vm, *members[0]->target);
    const auto picks = [&](const std::string& vm) {
      int count = 0;
      for (int i = 0; i < 50 * size; ++i) {
        const auto picked =
            PickTarget(members, content, content.routes[2], ContextIn("r", "d"), loads, random);
        count += picked->vm == vm ? 1 : 0;
      }
      return count;
    };
    cr_assert(picks("vm-0") == 0);
    member_record restarted = *members[0];
    restarted.version.incarnation += 1;
    restarted.target->ready_at_ms += 1;
    members[0] = std::make_shared<const member_record>(restarted);
    cr_assert(picks("vm-0") == 0, "its daemon restarted and took a late report");
    members.erase(members.begin() + 1, members.begin() + size / 2);
    cr_assert(picks("vm-0") == 0, "members were lost");
    restarted.target->start_ms = 1;
    // The subset that a daemon uses holds each of few members.
    members = {std::make_shared<const member_record>(restarted), members.back()};
    cr_assert(picks("vm-0") > 0, "the target started again");
  }
}

Test(pick_target, with_only_leaving_targets_picks_none) {
  const document content = SlotboardDocument();
  std::mt19937_64 random(1);
  load_board loads;
  const member_ptr only = Target("a", "r", "d");
  loads.OnLeaving("a", *only->target);
  cr_assert(PickTarget({only}, content, content.routes[2], ContextIn("r", "d"), loads, random) ==
            nullptr);
}

Test(decide_next, over_every_state_retries_only_with_proof_or_when_repeatable) {
  for (const bool repeatable : {false, true}) {
    for (int outcome = 0; outcome <= static_cast<int>(attempt_outcome::kFenced); ++outcome) {
      for (std::int64_t attempts_made = 1; attempts_made <= 5; ++attempts_made) {
        for (const bool replayable : {false, true}) {
          for (const bool gate_queried : {false, true}) {
            for (const std::int64_t time_left_ms : {0, 100}) {
              const route chosen{.repeatable = repeatable, .attempts = 3};
              const bool may_have_run = attempts_made % 2 == 0;
              const attempt_state state{static_cast<attempt_outcome>(outcome),
                                        attempts_made,
                                        replayable,
                                        gate_queried,
                                        may_have_run,
                                        milliseconds(time_left_ms)};
              const next_step step = DecideNext(chosen, state, [] { return true; });
              if (may_have_run) cr_assert(step != next_step::kReportNotRun);
              const bool lost = state.outcome == attempt_outcome::kLost;
              const bool failed = state.outcome == attempt_outcome::kFailureResponse;
              const bool proven = !lost && !failed && state.outcome != attempt_outcome::kResponded;
              if (step == next_step::kRetry) {
                cr_assert(proven || ((lost || failed) && repeatable && attempts_made < 3));
                cr_assert(replayable && time_left_ms > 0);
              }
              if (step == next_step::kReportNotRun) cr_assert(proven);
              if (failed && step != next_step::kRetry)
                cr_assert(step == next_step::kDeliverResponse);
              if (lost) cr_assert(step != next_step::kReportNotRun);
              if (lost && gate_queried) cr_assert(step != next_step::kQueryGate);
            }
          }
        }
      }
    }
  }
}

// Pattern: every target of a service is full. Retries that no budget allows would only add load.
Test(decide_next, after_a_refusal_by_load_retries_only_within_the_budget) {
  const route chosen{.repeatable = true, .attempts = 3};
  const attempt_state state{.outcome = attempt_outcome::kRefusedOverload,
                            .time_left = milliseconds(100)};
  int asked = 0;
  const auto decide = [&](bool allowed) {
    return DecideNext(chosen, state, [&] { return ++asked > 0 && allowed; });
  };
  cr_assert(decide(true) == next_step::kRetry);
  cr_assert(decide(false) == next_step::kReportNotRun);
  cr_assert(asked == 2);
}

/// Checks the users' rule on a fleet of 1 to 119 daemons with random load: in any window, all
/// daemons together retry at most the ratio of the first attempts, plus the burst that they share.
/// First attempts are counted in that window, in the one before it or in the one half a window
/// before it, whichever has most.
void CheckFleetOfRetryBudgets() {
  const retry_budget_settings settings{0.2, 0, 30, milliseconds(10'000)};
  const auto daemons = static_cast<std::size_t>(*rc::gen::inRange(1, 120));
  std::vector<retry_budget> budgets(daemons);
  for (retry_budget& each : budgets) each.SetDaemonCount(daemons);
  std::vector<std::pair<time_point, int>> first_attempts;
  std::vector<time_point> retries;
  const auto attempted_in_window_ending = [&](time_point end) {
    int attempted = 0;
    for (const auto& [at, count] : first_attempts) {
      if (at > end - settings.window && at <= end) attempted += count;
    }
    return attempted;
  };
  time_point now = time_point{} + milliseconds(1);
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    retry_budget& budget = budgets[*rc::gen::inRange<std::size_t>(0, daemons)];
    const int arrived = *rc::gen::inRange(0, 20);
    for (int i = 0; i < arrived; ++i) budget.OnFirstAttempt("slotboard", settings, now);
    first_attempts.emplace_back(now, arrived);
    const auto kind = *rc::gen::element(retry_kind::kNotRun, retry_kind::kMayHaveRun);
    for (int i = 0; i < 100 && budget.TryTake("slotboard", settings, kind, now); ++i) {
      retries.push_back(now);
    }
  }
  // A window has the most retries when it ends at one of them or begins right before one.
  for (const time_point each : retries) {
    for (const time_point end : {each, each + settings.window - milliseconds(1)}) {
      const auto retried = std::count_if(
          retries.begin(), retries.end(),
          [&](const time_point other) { return other > end - settings.window && other <= end; });
      const int attempted = std::max({attempted_in_window_ending(end),
                                      attempted_in_window_ending(end - settings.window),
                                      attempted_in_window_ending(end - settings.window / 2)});
      RC_ASSERT(static_cast<double>(retried) <= 0.2 * attempted + 30);
    }
  }
}

Test(retry_budget, shared_by_a_fleet_stays_within_its_ratio_and_burst_in_every_window) {
  cr_assert(rc::check(CheckFleetOfRetryBudgets));
}

// Seeds with which the property failed while first attempts counted for windows that they had left.
Test(retry_budget, shared_by_a_fleet_stays_within_its_limit_with_seeds_that_failed_before) {
  for (const std::uint64_t seed : {191'300'342'260'688'756U, 1UL, 5UL, 6UL, 12UL}) {
    rc::detail::TestParams params;
    params.seed = seed;
    const auto outcome =
        rc::detail::checkTestable(CheckFleetOfRetryBudgets, rc::detail::TestMetadata{}, params);
    cr_assert(outcome.is<rc::detail::SuccessResult>());
  }
}

// Failure: the first attempts of two windows that overlap were counted for retries of a third one.
Test(retry_budget, for_a_window_between_two_bursts_counts_first_attempts_of_one_window_only) {
  const retry_budget_settings settings{0.2, 0, 0, milliseconds(10'000)};
  retry_budget budget;
  const time_point begin = time_point{} + milliseconds(100'000);
  const auto send = [&](milliseconds at) {
    for (int i = 0; i < 100; ++i) budget.OnFirstAttempt("slotboard", settings, begin + at);
  };
  // The window from 2,000 to 12,000 ms, the one before it and the one half a window before it have
  // 100 first attempts each, although 200 lie within the 10 s before the retries.
  send(milliseconds(0));
  send(milliseconds(8'000));
  int retries = 0;
  const time_point now = begin + milliseconds(9'400);
  while (retries < 100 && budget.TryTake("slotboard", settings, retry_kind::kNotRun, now))
    ++retries;
  cr_assert(retries > 0 && retries <= 20, "%d retries", retries);
}

// Pattern: a fleet with more daemons than its shared burst has retries.
Test(retry_budget, in_a_fleet_larger_than_its_burst_still_allows_retries_in_proportion) {
  const retry_budget_settings settings{0.2, 0, 50, milliseconds(10'000)};
  retry_budget budget;
  budget.SetDaemonCount(96);
  time_point now = time_point{} + milliseconds(1);
  int retries = 0;
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(50);
    budget.OnFirstAttempt("slotboard", settings, now);
    if (budget.TryTake("slotboard", settings, retry_kind::kNotRun, now)) ++retries;
  }
  cr_assert(retries >= 80 && retries <= 101, "%d retries", retries);
}

Test(retry_budget, for_requests_that_may_have_run_allows_half_as_many_retries) {
  const retry_budget_settings settings{0.2, 0, 0, milliseconds(10'000)};
  const auto count_retries = [&](retry_kind kind) {
    retry_budget budget;
    time_point now = time_point{} + milliseconds(1);
    int retries = 0;
    // Three windows of 1,000 first attempts each; retries are counted in the last one.
    for (int i = 0; i < 3'000; ++i) {
      now += milliseconds(10);
      budget.OnFirstAttempt("slotboard", settings, now);
      const bool taken = budget.TryTake("slotboard", settings, kind, now);
      if (taken && i >= 2'000) ++retries;
    }
    return retries;
  };
  const int repeats = count_retries(retry_kind::kMayHaveRun);
  const int others = count_retries(retry_kind::kNotRun);
  cr_assert(repeats >= 95 && repeats <= 100, "%d repeats", repeats);
  cr_assert(others >= 190 && others <= 200, "%d others", others);
}

// Failure: repeats used up the whole budget, so that a request which had not run was not retried.
Test(retry_budget, that_repeats_have_used_up_still_allows_retries_of_requests_that_have_not_run) {
  const retry_budget_settings settings{0.2, 0, 0, milliseconds(10'000)};
  retry_budget budget;
  const time_point now = time_point{} + milliseconds(1);
  for (int i = 0; i < 200; ++i) budget.OnFirstAttempt("slotboard", settings, now);
  const auto count_retries = [&](retry_kind kind) {
    int retries = 0;
    while (retries < 100 && budget.TryTake("slotboard", settings, kind, now)) ++retries;
    return retries;
  };
  cr_assert(count_retries(retry_kind::kMayHaveRun) == 10);
  cr_assert(count_retries(retry_kind::kNotRun) == 10);
}

// Load: calls that begin on a daemon that had none. The first retries must not wait for a window.
Test(retry_budget, for_first_attempts_that_all_come_at_once_allows_half_of_its_ratio) {
  const retry_budget_settings settings{0.2, 0, 0, milliseconds(10'000)};
  retry_budget budget;
  const time_point now = time_point{} + milliseconds(1);
  for (int i = 0; i < 100; ++i) budget.OnFirstAttempt("slotboard", settings, now);
  int retries = 0;
  while (retries < 100 && budget.TryTake("slotboard", settings, retry_kind::kNotRun, now)) {
    ++retries;
  }
  cr_assert(retries == 10, "%d retries", retries);
}

// Pattern: targets of unequal speed. A slower one nearby is used while it answers in time.
Test(pick_target, with_a_faster_target_in_another_region_stays_near_until_it_would_be_late) {
  document content = SlotboardDocument();
  route& browse = content.routes.front();
  browse.target_locality = catkinmoor::locality::kBalanced;
  browse.traffic_class = catkinmoor::route_class::kBrowse;
  browse.latency_objective = milliseconds(800);
  const std::vector<member_ptr> all = {Target("near", "r", "r-1"), Target("far", "s", "s-1")};
  load_board loads;
  std::mt19937_64 random(1);
  const auto now = time_point{} + milliseconds(1);
  loads.OnLoadReport("near", browse.traffic_class, {3, 10, 0, 256}, now);
  loads.OnLoadReport("far", browse.traffic_class, {3, 10, 0, 112}, now);
  const auto pick = [&] {
    return PickTarget(all, content, browse, ContextIn("r", "r-1"), loads, random)->vm;
  };
  for (int i = 0; i < 100; ++i) cr_assert(pick() == "near");
  loads.OnLoadReport("near", browse.traffic_class, {10, 10, 20, 256}, now);
  for (int i = 0; i < 100; ++i) cr_assert(pick() == "far");
}

// Pattern: a fleet larger than the subset that one daemon considers.
Test(pick_target, in_a_fleet_larger_than_the_subset_uses_targets_of_its_own_data_centre) {
  document content = SlotboardDocument();
  route& browse = content.routes.front();
  browse.target_locality = catkinmoor::locality::kBalanced;
  browse.traffic_class = catkinmoor::route_class::kBrowse;
  browse.latency_objective = milliseconds(800);
  std::vector<member_ptr> all;
  for (int i = 0; i < 90; ++i) {
    const std::string region = std::string(1, static_cast<char>('r' + i % 3));
    all.push_back(Target("vm-" + std::to_string(i), region, region + std::to_string(i % 9)));
  }
  load_board loads;
  std::mt19937_64 random(1);
  std::set<std::string> used;
  for (int daemon = 0; daemon < 10; ++daemon) {
    selection_context context = ContextIn("r", "r0");
    context.vm = "daemon-" + std::to_string(daemon);
    for (int i = 0; i < 100; ++i) {
      const member_ptr chosen = PickTarget(all, content, browse, context, loads, random);
      cr_assert(chosen->data_centre == "r0");
      used.insert(chosen->vm);
    }
    context.tried_vms = used;
    // With all targets of the data centre tried, those of the region follow.
    for (const member_ptr& each : all) {
      if (each->data_centre == "r0") context.tried_vms.insert(each->vm);
    }
    cr_assert(PickTarget(all, content, browse, context, loads, random)->region == "r");
  }
  cr_assert(used.size() == 10, "%zu targets of the data centre were used", used.size());
}

Test(pick_target, with_balanced_locality_stays_in_the_region_until_it_is_saturated) {
  document content = SlotboardDocument();
  content.routes.front().target_locality = catkinmoor::locality::kBalanced;
  const std::vector<member_ptr> all = {Target("near", "r", "r-1"), Target("far", "s", "s-1")};
  load_board loads;
  std::mt19937_64 random(1);
  const auto pick = [&] {
    return PickTarget(all, content, content.routes.front(), ContextIn("r", "r-1"), loads, random)
        ->vm;
  };
  cr_assert(pick() == "near");
  const auto now = time_point{} + milliseconds(1);
  loads.OnLoadReport("near", content.routes.front().traffic_class, {10, 10, 10, 100}, now);
  cr_assert(pick() == "far");
}

Test(pick_target, with_balanced_locality_avoids_a_failing_target_until_its_failure_ratio_decays) {
  document content = SlotboardDocument();
  content.routes.front().target_locality = catkinmoor::locality::kBalanced;
  const std::vector<member_ptr> all = {Target("good", "r", "r-1"), Target("grey", "r", "r-1")};
  load_board loads;
  std::mt19937_64 random(1);
  selection_context context = ContextIn("r", "r-1");
  for (int i = 0; i < 10; ++i) loads.OnFailureResponse("grey", context.now);
  const auto count_failing_picks = [&] {
    int failing_picks = 0;
    for (int i = 0; i < 100; ++i) {
      const auto chosen = PickTarget(all, content, content.routes.front(), context, loads, random);
      failing_picks += chosen->vm == "grey" ? 1 : 0;
    }
    return failing_picks;
  };
  cr_assert(count_failing_picks() == 0);
  context.now += milliseconds(30'000);
  cr_assert(count_failing_picks() > 20);
}

Test(retry_budget, under_any_load_allows_no_more_than_its_ratio) {
  cr_assert(rc::check([] {
    const retry_budget_settings settings{0.2, 1};
    retry_budget budget;
    time_point now = time_point{} + milliseconds(1);
    const time_point start = now;
    double first_attempts = 0;
    double retries = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 4))) {
      now += milliseconds(step);
      budget.OnFirstAttempt("slotboard", settings, now);
      ++first_attempts;
      if (budget.TryTake("slotboard", settings, retry_kind::kNotRun, now)) ++retries;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(retries <= settings.ratio * first_attempts + settings.min_per_second * (seconds + 1));
  }));
}

Test(split, without_any_weight_is_drawn_with_equal_shares) {
  document content = SlotboardDocument();
  content.routes.front().splits = {{{}, 0, "old"}, {{}, 0, "new"}};
  std::mt19937_64 random(1);
  std::set<std::string> drawn;
  for (int i = 0; i < 100; ++i) {
    drawn.insert(PickSplit(content, content.routes.front(), random).service);
  }
  cr_assert_eq(drawn.size(), 2U);
}
