#include <cmath>

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

/// Share of the requests of an interval that were admitted.
double Admitted(const quota_fleet& fleet, const std::string& workspace, int from_ms, int to_ms) {
  const auto counts = fleet.Count(workspace, milliseconds(from_ms), milliseconds(to_ms));
  const int all = counts.admitted + counts.over_limit + counts.no_authority;
  return all == 0 ? 1 : static_cast<double>(counts.admitted) / all;
}

void SpreadLoad(quota_fleet& fleet, const std::string& workspace, double rate,
                std::size_t first_daemon, std::size_t daemons, int from_ms, int to_ms) {
  for (std::size_t i = 0; i < daemons; ++i) {
    fleet.SendLoad(first_daemon + i, workspace, rate / static_cast<double>(daemons),
                   milliseconds(from_ms), milliseconds(to_ms));
  }
}

}  // namespace

// Load: one workspace sends 7 times its usual rate for 6 s, with a quota of 1.6 times that rate.
Test(quota_load, of_a_hot_workspace_is_cut_to_its_limit_and_leaves_others_alone) {
  quota_fleet fleet(
      {.daemons = 12, .workspaces = {Limited("hot", 64, 64), Limited("calm", 32, 32)}});
  SpreadLoad(fleet, "hot", 40, 0, 12, 10'000, 30'000);
  SpreadLoad(fleet, "hot", 240, 0, 12, 16'000, 22'000);
  SpreadLoad(fleet, "calm", 20, 0, 12, 10'000, 30'000);
  fleet.RunUntil(milliseconds(31'000));
  cr_assert(fleet.LargestWindow("hot", milliseconds(0)) <= fleet.Bound("hot"));
  const auto hot = fleet.Count("hot", milliseconds(17'000), milliseconds(22'000));
  cr_assert(hot.admitted >= 0.85 * 64 * 5, "%d of 320 admitted", hot.admitted);
  cr_assert_eq(hot.no_authority, 0);
  cr_assert(Admitted(fleet, "hot", 12'000, 16'000) >= 0.99, "%f",
            Admitted(fleet, "hot", 12'000, 16'000));
  cr_assert(Admitted(fleet, "hot", 24'000, 30'000) >= 0.99, "%f",
            Admitted(fleet, "hot", 24'000, 30'000));
  cr_assert(Admitted(fleet, "calm", 12'000, 30'000) >= 0.99, "%f",
            Admitted(fleet, "calm", 12'000, 30'000));
}

// Load: 80 workspaces of 1 to 500 requests per second on 77 daemons with 13 callers each.
Test(quota_load, of_uneven_workspaces_on_77_daemons_is_admitted_within_the_limits) {
  std::vector<workspace> workspaces;
  std::vector<double> rates;
  for (int i = 0; i < 80; ++i) {
    rates.push_back(std::max(1.0, std::floor(500 * std::pow(i + 1, -1.15))));
    workspaces.push_back(Limited("w-" + std::to_string(i), 1.6 * rates.back(), 0.3 * rates.back()));
  }
  quota_fleet fleet({.daemons = 77, .workspaces = workspaces});
  double total = 0;
  for (const double each : rates) total += each;
  int caller = 0;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    const int callers = std::max(1, static_cast<int>(1'000 * rates[i] / total));
    for (int k = 0; k < callers; ++k) {
      fleet.SendLoad(static_cast<std::size_t>(caller++ * 31 % 77), workspaces[i].name,
                     rates[i] / callers, milliseconds(10'000), milliseconds(20'000));
    }
  }
  fleet.RunUntil(milliseconds(12'000));
  const auto messages = fleet.Messages();
  const auto store_calls = fleet.StoreCalls();
  fleet.RunUntil(milliseconds(21'000));
  int admitted = 0;
  int refused = 0;
  for (const workspace& each : workspaces) {
    const auto counts = fleet.Count(each.name, milliseconds(12'000), milliseconds(20'000));
    admitted += counts.admitted;
    refused += counts.over_limit + counts.no_authority;
    cr_assert(fleet.LargestWindow(each.name, milliseconds(0)) <= fleet.Bound(each.name));
  }
  std::fprintf(stderr,
               "%.0f requests/s: %d admitted, %d refused; %.1f asks/s, %.1f store calls/s\n", total,
               admitted, refused, static_cast<double>(fleet.Messages() - messages) / 9,
               static_cast<double>(fleet.StoreCalls() - store_calls) / 9);
  cr_assert(refused <= 0.01 * admitted, "%d refused, %d admitted", refused, admitted);
}

// Load: a limit is set far below what the workspace sends.
Test(quota_load, above_a_limit_that_is_cut_stays_within_the_new_limit_after_a_window) {
  quota_fleet fleet({.daemons = 12, .workspaces = {Limited("cut", 160, 80)}});
  SpreadLoad(fleet, "cut", 100, 0, 12, 10'000, 28'000);
  fleet.RunUntil(milliseconds(14'000));
  cr_assert(Admitted(fleet, "cut", 12'000, 14'000) >= 0.99);
  fleet.SetLimits({Limited("cut", 10, 5)});
  fleet.RunUntil(milliseconds(29'000));
  const int largest = fleet.LargestWindow("cut", milliseconds(19'000));
  cr_assert(largest <= fleet.Bound("cut"), "%d in a window", largest);
  const auto counts = fleet.Count("cut", milliseconds(20'000), milliseconds(28'000));
  cr_assert(counts.admitted >= 0.85 * 10 * 8, "%d admitted", counts.admitted);
  cr_assert(counts.no_authority == 0, "%d without authority", counts.no_authority);
}

// Load: callers move to the daemons of another data centre within a second.
Test(quota_load, that_moves_between_daemons_is_still_admitted) {
  quota_fleet fleet({.daemons = 20, .workspaces = {Limited("moving", 160, 80)}});
  SpreadLoad(fleet, "moving", 100, 0, 10, 10'000, 16'000);
  SpreadLoad(fleet, "moving", 100, 10, 10, 16'000, 22'000);
  fleet.RunUntil(milliseconds(23'000));
  cr_assert(Admitted(fleet, "moving", 12'000, 22'000) >= 0.99, "%f",
            Admitted(fleet, "moving", 12'000, 22'000));
  cr_assert(fleet.LargestWindow("moving", milliseconds(0)) <= fleet.Bound("moving"));
}

// Failure: the authority is killed. Others claim the row within the vacancy; until then requests
// are refused as having no authority, not as being over their limit.
Test(quota_load, while_the_authority_is_killed_is_served_again_within_seconds) {
  quota_fleet fleet({.daemons = 8, .workspaces = {Limited("a", 64, 64)}});
  SpreadLoad(fleet, "a", 40, 0, 8, 10'000, 28'000);
  fleet.RunUntil(milliseconds(14'000));
  const auto authority = fleet.Authority();
  cr_assert(authority.has_value());
  fleet.Pause(*authority, milliseconds(60'000));
  fleet.RunUntil(milliseconds(29'000));
  const auto failed = fleet.Count("a", milliseconds(14'000), milliseconds(22'000));
  cr_assert_eq(failed.over_limit, 0);
  cr_assert(Admitted(fleet, "a", 21'000, 28'000) >= 0.99, "%f",
            Admitted(fleet, "a", 21'000, 28'000));
  cr_assert(fleet.LargestWindow("a", milliseconds(0)) <= fleet.Bound("a"));
}

// Failure: the authority restarts. Its row names its vm, so that it claims it again at once.
Test(quota_load, while_the_authority_restarts_is_served_again_at_once) {
  quota_fleet fleet({.daemons = 8, .workspaces = {Limited("a", 64, 64)}});
  SpreadLoad(fleet, "a", 40, 0, 8, 10'000, 20'000);
  fleet.RunUntil(milliseconds(14'000));
  const auto authority = fleet.Authority();
  cr_assert(authority.has_value());
  fleet.Restart(*authority);
  fleet.RunUntil(milliseconds(16'000));
  cr_assert(fleet.Authority() == authority);
  fleet.RunUntil(milliseconds(21'000));
  cr_assert(fleet.LargestWindow("a", milliseconds(0)) <= fleet.Bound("a"));
  cr_assert(Admitted(fleet, "a", 16'000, 20'000) >= 0.99, "%f",
            Admitted(fleet, "a", 16'000, 20'000));
}
