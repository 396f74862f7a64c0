#include "rollout/conductor_lease.h"
#include "rollout/rollout_verdict.h"

#include <criterion/criterion.h>

namespace {

using namespace catkinmoor;  // NOLINT(google-build-using-namespace)

version_figures Figures(std::uint64_t good, std::uint64_t failed, std::uint64_t slow = 0) {
  version_figures figures{good + failed + slow, failed, {}};
  figures.times[TimeBucket(milliseconds(10))] = good;
  figures.times[TimeBucket(milliseconds(80))] = slow;
  return figures;
}

route_verdict JudgeFigures(const version_figures& ordered, const version_figures& others) {
  return JudgeRoute({ordered, others}, others);
}

time_point At(int ms) { return time_point(std::chrono::hours(1)) + milliseconds(ms); }

conductor_row Row(std::uint64_t order, rollout_phase phase, std::uint64_t revision) {
  conductor_row row{"a", 4, {}, false, revision};
  row.record.order = {"shop", order, "v2", milliseconds(12'000)};
  row.record.phase = phase;
  row.record.elapsed = milliseconds(2'000);
  row.record.committed = 9;
  return row;
}

}  // namespace

// Half of the responses are bad: found with fewer than 20 bad responses, however they are mixed.
Test(rollout_verdict, with_half_bad_is_bad_before_the_twentieth_bad_response) {
  for (const bool slow : {false, true}) {
    bool bad = false;
    for (std::uint64_t n = 4; n < 20 && !bad; ++n) {
      bad = JudgeFigures(slow ? Figures(n, 0, n) : Figures(n, n), Figures(200, 2)).bad;
    }
    cr_assert(bad);
  }
}

// Few unlucky responses, or failures that the other versions have as well.
Test(rollout_verdict, with_no_more_failures_than_others_is_not_bad) {
  cr_assert(!JudgeFigures(Figures(10, 2), Figures(200, 2)).bad);
  cr_assert(!JudgeFigures(Figures(70, 30), Figures(700, 300)).bad);
  cr_assert(!JudgeFigures(Figures(10, 0, 2), Figures(200, 0, 20)).bad);
  cr_assert(!JudgeFigures(Figures(0, 0), Figures(200, 2)).bad);
}

// One bad route among many requests to others.
Test(rollout_verdict, with_one_bad_route_names_it) {
  const rollout_evidence evidence = {{"browse", {Figures(300, 0), Figures(3'000, 3)}},
                                     {"book", {Figures(8, 8), Figures(150, 0)}}};
  const auto verdicts = Judge(evidence, evidence);
  cr_assert(verdicts.at("book").bad);
  cr_assert(!verdicts.at("browse").bad);
}

Test(binomial_upper_tail, agrees_with_known_values) {
  cr_assert_float_eq(BinomialUpperTail(3, 0.5, 2), 0.5, 1e-9);
  cr_assert_float_eq(BinomialUpperTail(10, 0.1, 1), 1 - 0.3486784401, 1e-9);
  cr_assert_float_eq(BinomialUpperTail(5, 0.2, 0), 1, 1e-9);
}

// A conductor that was paused, or whose renewals are lost, must have stopped before another begins.
Test(conductor_lease, of_two_daemons_is_never_held_by_both) {
  conductor_lease holder;
  conductor_lease other;
  holder.OnRenewed(At(0));
  const conductor_row row = Row(7, rollout_phase::kCanary, 3);
  int claimed_at = 0;
  for (int ms = 10; claimed_at == 0; ms += 10) {
    if (other.Observe(row, 7, "b", false, At(ms)) == conductor_lease::step::kClaim) claimed_at = ms;
  }
  cr_assert(!holder.Holds(At(claimed_at)));
  cr_assert_leq(claimed_at, 3'100);
}

Test(conductor_lease, with_a_renewed_row_waits) {
  conductor_lease other;
  for (int i = 0; i < 20; ++i) {
    const conductor_row row = Row(7, rollout_phase::kCanary, static_cast<std::uint64_t>(i) + 1);
    cr_assert(other.Observe(row, 7, "b", false, At(i * 1'000)) == conductor_lease::step::kWait);
  }
}

// The time of the order and the grants of the predecessor count on.
Test(conductor_lease, of_a_successor_continues_the_record) {
  conductor_lease other;
  const conductor_row row = Row(7, rollout_phase::kHalf, 3);
  other.Observe(row, 7, "b", false, At(0));
  const conductor_row claim = other.MakeClaim(row, row.record.order, "b", At(3'000));
  cr_assert_eq(claim.epoch, 5);
  cr_assert_eq(claim.revision, 3);
  cr_assert_eq(claim.record.elapsed.count(), 5'000);
  cr_assert_eq(claim.record.committed, 9);
  cr_assert(claim.record.phase == rollout_phase::kHalf);
}

// An order that ended must not be run again by a daemon that starts later.
Test(conductor_lease, of_an_order_that_ended_is_not_claimed) {
  conductor_lease other;
  conductor_row row = Row(7, rollout_phase::kSucceeded, 3);
  row.status_written = true;
  cr_assert(other.Observe(row, 7, "b", false, At(0)) == conductor_lease::step::kFinished);
  cr_assert(other.Observe(row, 8, "b", false, At(0)) == conductor_lease::step::kClaim);
}

// The unproven version of an order that is replaced gets nothing as an "old" version.
Test(succeeding_record, of_an_unfinished_rollout_excludes_its_version) {
  const rollout_record running = Row(7, rollout_phase::kCanary, 1).record;
  const rollout_record next = SucceedingRecord(running, {"shop", 9, "v3", milliseconds(1'000)});
  cr_assert(next.excluded == std::vector<std::string>{"v2"});
  const rollout_record back = SucceedingRecord(next, {"shop", 11, "v2", milliseconds(1'000)});
  cr_assert(back.excluded == std::vector<std::string>{"v3"});
  rollout_record done = back;
  done.phase = rollout_phase::kSucceeded;
  cr_assert(SucceedingRecord(done, {"shop", 12, "v4", milliseconds(1'000)}).excluded.empty());
}
