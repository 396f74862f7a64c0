// Whole rollouts on a virtual clock: entries with their real routers, a conductor's plan, and
// targets of which the new version is good or bad in one way.

#include <rapidcheck.h>

#include "rollout/tests/simulated_rollout.h"

#include <criterion/criterion.h>

namespace {

using namespace catkinmoor;                 // NOLINT(google-build-using-namespace)
using namespace catkinmoor::rollout_tests;  // NOLINT(google-build-using-namespace)

using options = simulated_rollout::options;

/// True at every n-th call.
struct every {
  int n = 2;
  int calls = 0;

  bool operator()() { return ++calls % n == 0; }
};

void RequireGood(simulated_rollout& subject, milliseconds duration) {
  subject.Run();
  const rollout_state state = subject.Plan().State();
  cr_assert(state.phase == rollout_phase::kSucceeded, "%s: %s", PhaseName(state.phase),
            state.reason.c_str());
  cr_assert(subject.ended_at <= duration, "%ld ms", static_cast<long>(subject.ended_at.count()));
  cr_assert_eq(subject.to_old_after_success, 0);
  cr_assert_leq(subject.worst_excess, 0);
}

/// The version is rolled back before its 50th bad response, and within the bound on exposure over
/// the whole rollout.
void RequireBad(simulated_rollout& subject) {
  subject.Run();
  const rollout_state state = subject.Plan().State();
  cr_assert(state.phase == rollout_phase::kRolledBack, "%s: %s", PhaseName(state.phase),
            state.reason.c_str());
  cr_assert_leq(subject.bad, 45, "%d bad", subject.bad);
  cr_assert_leq(subject.exposed, 0.1 * subject.requests + 50, "%d of %d", subject.exposed,
                subject.requests);
}

simulated_response Good(bool, int, double, milliseconds) { return {}; }

}  // namespace

// A good version must be in use by its time, whatever the traffic.
Test(rollout_plan, with_a_good_version_succeeds_in_time) {
  for (const double rate : {1500.0, 200.0, 40.0, 12.0}) {
    simulated_rollout subject({.rate = rate}, Good);
    RequireGood(subject, milliseconds(12'000));
  }
}

// 80 entries that rarely see a request of the service each.
Test(rollout_plan, with_little_traffic_at_many_entries_succeeds_in_time) {
  simulated_rollout subject({.entries = 80, .rate = 10}, Good);
  RequireGood(subject, milliseconds(12'000));
}

// Failures that both versions have are no reason to roll back.
Test(rollout_plan, with_an_old_version_that_fails_as_well_succeeds) {
  simulated_rollout subject({}, [fails = every{5}](bool, int, double, milliseconds) mutable {
    return simulated_response{fails(), milliseconds(10)};
  });
  RequireGood(subject, milliseconds(12'000));
}

// Targets that have just started and say so are slow for some seconds.
Test(rollout_plan, with_cold_targets_succeeds) {
  simulated_rollout subject({.cold = milliseconds(3'000)},
                            [](bool ordered, int, double, milliseconds since) {
                              const bool cold = ordered && since < milliseconds(3'500);
                              return simulated_response{false, milliseconds(cold ? 90 : 10)};
                            });
  RequireGood(subject, milliseconds(12'000));
}

Test(rollout_plan, with_a_version_that_fails_rolls_back) {
  for (const double rate : {1500.0, 200.0, 40.0}) {
    simulated_rollout subject({.rate = rate},
                              [fails = every{}](bool ordered, int, double, milliseconds) mutable {
                                return simulated_response{ordered && fails(), milliseconds(10)};
                              });
    RequireBad(subject);
  }
}

Test(rollout_plan, with_a_version_that_is_slow_rolls_back) {
  simulated_rollout subject({}, [fails = every{}](bool ordered, int, double, milliseconds) mutable {
    return simulated_response{false, milliseconds(ordered && fails() ? 80 : 10)};
  });
  RequireBad(subject);
}

Test(rollout_plan, with_a_version_that_fails_on_one_route_rolls_back) {
  simulated_rollout subject(
      {}, [fails = every{}](bool ordered, int route, double, milliseconds) mutable {
        return simulated_response{ordered && route == 1 && fails(), milliseconds(10)};
      });
  RequireBad(subject);
}

// The earlier successes must not outweigh the failures.
Test(rollout_plan, with_a_version_that_fails_some_seconds_later_rolls_back) {
  for (const double rate : {1500.0, 200.0}) {
    for (const int begin : {2'500, 4'000, 6'000}) {
      simulated_rollout subject(
          {.targets = static_cast<int>(rate / 30), .rate = rate},
          [begin, fails = every{}](bool ordered, int, double, milliseconds since) mutable {
            return simulated_response{ordered && since.count() > begin && fails(),
                                      milliseconds(10)};
          });
      RequireBad(subject);
    }
  }
}
// The fault shows at three quarters of the usual requests per target, which a small share that is
// divided among all targets never reaches.
Test(rollout_plan, with_a_version_that_fails_under_load_rolls_back) {
  simulated_rollout subject(
      {}, [fails = every{}](bool ordered, int, double load, milliseconds) mutable {
        return simulated_response{ordered && load > 0.75 * 200 / 6 && fails(), milliseconds(10)};
      });
  RequireBad(subject);
}

// Messages are lost and repeated.
Test(rollout_plan, with_lost_and_repeated_reports_counts_each_request_once) {
  simulated_rollout subject({.loss = 0.2}, Good);
  RequireGood(subject, milliseconds(12'000));
  cr_assert_leq(subject.Plan().Requests(), static_cast<std::uint64_t>(subject.requests));
  cr_assert_leq(subject.Plan().Exposed(), static_cast<std::uint64_t>(subject.exposed));
}

// A report that arrives after a later one must not confirm that nothing is in progress any more.
Test(rollout_plan, with_a_late_report_keeps_what_a_later_one_stated) {
  const rollout_order order{"shop", 7, "v2", milliseconds(12'000)};
  const time_point now(std::chrono::hours(1));
  rollout_plan plan({order, rollout_phase::kClosing}, {0.1, 50, milliseconds(5'000)}, "c", 1, now);
  const rollout_state closing = plan.NextState();
  rollout_report report;
  report.sender = "a";
  report.service = "shop";
  report.order = 7;
  report.seen_epoch = closing.epoch;
  report.seen_sequence = closing.sequence;
  report.number = 2;
  report.other_in_flight = 1;
  plan.OnReport(report, now);
  report.number = 1;
  report.other_in_flight = 0;
  plan.OnReport(report, now);
  const rollout_fleet fleet{2, {"a"}};
  cr_assert(!plan.Step(fleet, now));
  report.number = 3;
  plan.OnReport(report, now);
  cr_assert(plan.Step(fleet, now));
  cr_assert(plan.State().phase == rollout_phase::kSucceeded);
}

// The conductor dies, and the next takes over from its record 4 s later.
Test(rollout_plan, with_a_successor_continues_and_ends_in_time) {
  for (const int dies_at : {2'000, 6'000, 8'500}) {
    simulated_rollout subject({.duration = milliseconds(20'000)}, Good);
    subject.Advance(milliseconds(dies_at));
    subject.conductor_works = false;
    subject.Advance(milliseconds(4'000));
    rollout_record record = subject.LastRecord();
    record.elapsed += milliseconds(4'000);
    subject.Conduct(record, 2);
    subject.conductor_works = true;
    RequireGood(subject, milliseconds(20'000));
  }
}

// While no conductor is heard, the old version gets all requests.
Test(rollout_plan, without_a_conductor_exposes_nothing_after_the_silence) {
  simulated_rollout subject({}, Good);
  subject.Advance(milliseconds(4'000));
  subject.conductor_works = false;
  subject.Advance(version_router::kMaxSilence + milliseconds(500));
  const int exposed = subject.exposed;
  subject.Advance(milliseconds(3'000));
  cr_assert_eq(subject.exposed, exposed);
}

Test(rollout_plan, without_targets_of_the_version_waits_and_rolls_back_at_the_deadline) {
  simulated_rollout subject({.targets_ready_at = milliseconds(60'000)}, Good);
  subject.Run();
  cr_assert(subject.Plan().State().phase == rollout_phase::kRolledBack);
  cr_assert_leq(subject.ended_at.count(), 12'000);
  cr_assert_eq(subject.exposed, 0);
}

// The version vanishes and does not come back.
Test(rollout_plan, with_a_version_that_vanishes_rolls_back_at_the_deadline) {
  simulated_rollout subject({}, Good);
  subject.Advance(milliseconds(8'500));
  subject.new_targets_exist = false;
  subject.Run();
  cr_assert(subject.Plan().State().phase == rollout_phase::kRolledBack);
  cr_assert_leq(subject.ended_at.count(), 12'000);
}

Test(rollout_plan, without_any_request_rolls_back_at_the_deadline) {
  simulated_rollout subject({.rate = 0}, Good);
  subject.Run();
  cr_assert(subject.Plan().State().phase == rollout_phase::kRolledBack);
}

// The bound on the exposure of an unproven version, over all entries, at every moment: random
// traffic, losses, failures, and conductors that die and are replaced.
Test(rollout_plan, at_every_moment_keeps_the_bound_on_exposure) {
  const bool held = rc::check("exposure stays within the bound", [] {
    options chosen;
    chosen.entries = *rc::gen::inRange(1, 60);
    chosen.targets = *rc::gen::inRange(1, 8);
    chosen.rate = *rc::gen::element(5.0, 50.0, 400.0, 1500.0);
    chosen.loss = *rc::gen::element(0.0, 0.1, 0.5);
    chosen.seed = *rc::gen::arbitrary<std::uint64_t>();
    const int failing = *rc::gen::element(2, 10, 1'000'000);
    simulated_rollout subject(
        chosen, [fails = every{failing}](bool ordered, int, double, milliseconds) mutable {
          return simulated_response{ordered && fails(), milliseconds(10)};
        });
    const int takeovers = *rc::gen::inRange(0, 4);
    for (int i = 0; i < takeovers; ++i) {
      subject.Advance(milliseconds(*rc::gen::inRange(1, 30) * 100));
      subject.Conduct(subject.LastRecord(), 2 + static_cast<std::uint64_t>(i));
    }
    subject.Run();
    RC_ASSERT(subject.worst_excess <= 0);
  });
  cr_assert(held);
}
