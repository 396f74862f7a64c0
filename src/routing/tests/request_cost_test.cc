#include "routing/request_cost.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "routing/target_selector.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::cost_key;
using catkinmoor::document;
using catkinmoor::load_board;
using catkinmoor::member_ptr;
using catkinmoor::member_record;
using catkinmoor::member_state;
using catkinmoor::milliseconds;
using catkinmoor::PickTarget;
using catkinmoor::reported_load;
using catkinmoor::request_cost_model;
using catkinmoor::route;
using catkinmoor::selection_context;
using catkinmoor::target_announcement;
using catkinmoor::target_state;
using catkinmoor::time_point;

const cost_key kRead{"read", "", 0};

void Respond(request_cost_model& model, const cost_key& key, int work_ms, int times,
             double pace = 1) {
  for (int i = 0; i < times; ++i) model.OnResponse(key, milliseconds(work_ms), pace);
}

bool IsNear(double value, double expected) { return std::abs(value - expected) < 0.25 * expected; }

}  // namespace

// Pattern: cold start without samples.
Test(request_cost, without_samples_has_no_estimate) {
  const request_cost_model model;
  cr_assert_eq(model.Estimate(kRead).samples, 0);
}

// Pattern: a combination that is seen for the first time.
Test(request_cost, of_a_new_combination_is_that_of_its_route) {
  request_cost_model model;
  Respond(model, kRead, 100, 50);
  cr_assert(IsNear(model.Estimate({"read", "new", 5'000}).mean_ms, 100));
}

// Pattern: one workspace among thousands sends expensive requests.
Test(request_cost, of_one_expensive_workspace_among_thousands_is_told_from_the_others) {
  request_cost_model model;
  for (int i = 0; i < 2'000; ++i) {
    model.OnResponse({"read", "cheap-" + std::to_string(i % 1'000), 0}, milliseconds(20), 1);
    if (i % 50 == 0) model.OnResponse({"read", "expensive", 0}, milliseconds(800), 1);
  }
  cr_assert_gt(model.Estimate({"read", "expensive", 0}).mean_ms, 500);
  cr_assert_lt(model.Estimate({"read", "cheap-7", 0}).mean_ms, 80);
}

// Pattern: more combinations than are kept. The routes still learn.
Test(request_cost, with_more_combinations_than_are_kept_still_estimates_by_route) {
  request_cost_model model;
  for (int i = 0; i < 20'000; ++i) {
    model.OnResponse({"read", "w-" + std::to_string(i), 0}, milliseconds(40), 1);
  }
  cr_assert(IsNear(model.Estimate({"read", "w-19999", 0}).mean_ms, 40));
}

// Pattern: heavy tails. The typical request is not taken for an expensive one.
Test(request_cost, with_a_heavy_tail_keeps_its_median_and_widens_its_spread) {
  request_cost_model narrow;
  request_cost_model wide;
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> tail(std::log(60), 1.0);
  for (int i = 0; i < 500; ++i) {
    narrow.OnResponse(kRead, milliseconds(60), 1);
    wide.OnResponse(kRead, milliseconds(static_cast<int>(tail(random))), 1);
  }
  cr_assert_lt(wide.Estimate(kRead).median_ms, 140);
  cr_assert_gt(wide.Estimate(kRead).spread, 2 * narrow.Estimate(kRead).spread);
}

// Pattern: a cost that doubles at once, for instance with a new version of the service.
Test(request_cost, that_doubles_at_once_is_followed_within_forty_responses) {
  request_cost_model model;
  Respond(model, kRead, 50, 500);
  Respond(model, kRead, 100, 40);
  cr_assert(IsNear(model.Estimate(kRead).mean_ms, 100));
}

// Pattern: neighbours on the target's machine slow it down. The work itself costs the same.
Test(request_cost, on_a_slowed_machine_is_that_at_the_usual_pace) {
  request_cost_model model;
  Respond(model, kRead, 50, 50, 1);
  Respond(model, kRead, 200, 50, 4);
  cr_assert(IsNear(model.Estimate(kRead).mean_ms, 50));
}

namespace {

constexpr int kTargets = 12;
constexpr int kSlots = 6;

/// A service on a virtual clock whose targets differ in speed and whose machines change their pace.
/// Entries learn the load of a target from their own responses only, so that it may be old.
class uneven_service {
 public:
  explicit uneven_service(bool states_pace) : states_pace_(states_pace) {
    content_.service = "s";
    route each{.name = "read"};
    each.target_locality = catkinmoor::locality::kBalanced;
    each.latency_objective = milliseconds(300);
    content_.routes = {each};
    for (int i = 0; i < kTargets; ++i) {
      member_record record;
      record.vm = "vm-" + std::to_string(i);
      record.region = "r";
      record.data_centre = "d";
      record.version = {1, 1, member_state::kAlive};
      record.target = target_announcement{"s", "i", {}, target_state::kReady, kSlots, 100, 0};
      members_.push_back(std::make_shared<const member_record>(record));
    }
    free_at_.assign(kTargets, std::vector<double>(kSlots, 0.0));
  }

  /// Share of the requests that are answered within the objective.
  double Play(int entries, double requests_per_ms, double length_ms) {
    std::vector<load_board> boards(static_cast<std::size_t>(entries));
    std::exponential_distribution<double> gap(requests_per_ms);
    std::lognormal_distribution<double> cost(std::log(70), 0.5);
    int in_time = 0;
    int all = 0;
    for (double now = 0; now < length_ms; now += gap(random_)) {
      Deliver(boards, now);
      const std::size_t entry = random_() % boards.size();
      selection_context context{"self", "r", "d", {}, At(now), 0};
      context.cost = boards[entry].Costs().Estimate(kRead);
      const member_ptr target =
          PickTarget(members_, content_, content_.routes.front(), context, boards[entry], random_);
      const auto index = static_cast<std::size_t>(std::stoi(target->vm.substr(3)));
      boards[entry].OnRequestStarted(target->vm);
      auto& slot = *std::min_element(free_at_[index].begin(), free_at_[index].end());
      const double begin = std::max(now, slot);
      const double work = cost(random_) * Speed(index) * Pace(index, begin);
      slot = begin + work;
      pending_.push_back({slot, begin, entry, index});
      ++all;
      if (slot - now <= 300) ++in_time;
    }
    return static_cast<double>(in_time) / all;
  }

 private:
  struct response {
    double at;
    double begin;
    std::size_t entry;
    std::size_t target;
  };

  static time_point At(double ms) {
    return time_point{} + milliseconds(static_cast<std::int64_t>(ms) + 10'000);
  }
  static double Speed(std::size_t target) { return target % 3 == 2 ? 1.6 : 0.7; }
  /// A third of the machines is slowed to a third of its pace for 400 ms at a time.
  static double Pace(std::size_t target, double now) {
    const auto phase = static_cast<std::size_t>(now / 400);
    return (phase + target) % 3 == 0 ? 3.0 : 1.0;
  }

  void Deliver(std::vector<load_board>& boards, double now) {
    std::sort(pending_.begin(), pending_.end(),
              [](const response& first, const response& second) { return first.at < second.at; });
    while (!pending_.empty() && pending_.front().at <= now) {
      const response done = pending_.front();
      pending_.pop_front();
      const std::string vm = "vm-" + std::to_string(done.target);
      const double work_ms = done.at - done.begin;
      double& mean_ms = mean_ms_[done.target];
      mean_ms += 0.1 * (work_ms - mean_ms);
      reported_load load{0, kSlots, 0, static_cast<std::uint32_t>(mean_ms)};
      double left_ms = 0;
      for (const double free_at : free_at_[done.target]) {
        if (free_at > done.at) ++load.in_use;
        left_ms += std::max(0.0, free_at - done.at);
      }
      if (states_pace_) {
        const double pace = Pace(done.target, done.at);
        load.pace_percent = static_cast<std::uint32_t>(100 * pace);
        load.work_left_ms = static_cast<std::uint32_t>(left_ms / pace);
        load.work_ms = static_cast<std::uint32_t>(work_ms);
      }
      boards[done.entry].OnRequestEnded(vm);
      boards[done.entry].OnLoadReport(vm, route{}.traffic_class, load, At(done.at));
      boards[done.entry].OnWork(vm, kRead, load);
    }
  }

  bool states_pace_;
  document content_;
  std::vector<member_ptr> members_;
  std::vector<std::vector<double>> free_at_;
  std::vector<double> mean_ms_ = std::vector<double>(kTargets, 100.0);
  std::deque<response> pending_;
  std::mt19937_64 random_{7};
};

}  // namespace

// Pattern: uneven speeds under stale news. Guards against sending to slowed machines, and against
// all entries sending to the target that reported the least work last.
Test(pick_target, by_cost_with_uneven_speeds_and_stale_news_answers_more_in_time) {
  const double by_class = uneven_service(false).Play(24, 0.4, 20'000);
  const double by_cost = uneven_service(true).Play(24, 0.4, 20'000);
  cr_log_info("in time: %.3f by class, %.3f by cost", by_class, by_cost);
  cr_assert_gt(by_cost, by_class, "%.3f by cost, %.3f by class", by_cost, by_class);
}

// Pattern: targets that state no pace. The selection is that of before.
Test(pick_target, without_a_stated_pace_does_not_go_by_cost) {
  load_board loads;
  const reported_load load{3, 10, 0, 100};
  loads.OnWork("a", kRead, load);
  cr_assert_eq(loads.Costs().Estimate(kRead).samples, 0);
}
