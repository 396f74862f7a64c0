#pragma once

#include <functional>
#include <memory>
#include <random>

#include "rollout/rollout_plan.h"
#include "rollout/version_router.h"

namespace catkinmoor::rollout_tests {

using std::chrono::duration_cast;

/// How a request to a target ends.
struct simulated_response {
  bool failed = false;
  milliseconds took{10};
};

/// A service with an old and a new version, its entries and a conductor, on a virtual clock. The
/// entries use the real router and board; messages take 20 ms.
class simulated_rollout {
 public:
  struct options {
    int entries = 20;
    int targets = 6;
    /// Requests a second to the whole service.
    double rate = 200;
    milliseconds duration{12'000};
    milliseconds targets_ready_at{500};
    /// Time after which the targets of the new version state that they are warm.
    milliseconds cold{0};
    rollout_bounds bounds{0.1, 50, milliseconds(5'000)};
    /// Chance that a message between an entry and the conductor, or its answer, is lost.
    double loss = 0;
    std::uint64_t seed = 1;
  };
  /// Response of a target, from the version, the route, its requests in the last second, and the
  /// time since the order.
  using behaviour =
      std::function<simulated_response(bool ordered, int route, double load, milliseconds since)>;

  simulated_rollout(options chosen, behaviour respond)
      : options_(chosen), respond_(std::move(respond)), random_(chosen.seed) {
    for (int i = 0; i < options_.entries; ++i) {
      entries_.push_back(std::make_unique<entry>());
      entry& added = *entries_.back();
      added.vm = "vm-" + std::to_string(i);
      added.router = std::make_unique<version_router>(
          added.board, "r", [this] { return now_; }, chosen.seed + static_cast<std::uint64_t>(i));
    }
    for (int i = 0; i < 2 * options_.targets; ++i) {
      member_record record;
      record.vm = (i < options_.targets ? "old-" : "new-") + std::to_string(i);
      record.region = "r";
      record.target = target_announcement{"shop", record.vm};
      record.target->labels[kVersionLabel] = i < options_.targets ? "v1" : "v2";
      const bool is_new = i >= options_.targets;
      if (is_new) record.target->ready_at_ms = WallMs(options_.targets_ready_at + options_.cold);
      targets_.push_back(std::make_shared<member_record>(record));
    }
    order_ = {"shop", 7, "v2", options_.duration};
    for (auto& each : entries_) each->board.Record({order_}, now_);
    Conduct({order_}, 1);
  }

  /// Lets a conductor take over from the present record.
  void Conduct(rollout_record record, std::uint64_t epoch) {
    plan_ = std::make_unique<rollout_plan>(std::move(record), options_.bounds, "conductor", epoch,
                                           now_);
    Record();
  }

  void Advance(milliseconds span) {
    for (const time_point end = now_ + span; now_ < end; now_ += milliseconds(10)) Tick();
  }

  /// Runs to the end of the rollout, and two seconds on.
  void Run() {
    while (!IsFinal(plan_->State().phase) && Since() < options_.duration + milliseconds(2'000)) {
      Advance(milliseconds(10));
    }
    ended_at = Since();
    exposed_at_end = exposed;
    Advance(milliseconds(2'000));
  }

  milliseconds Since() const { return duration_cast<milliseconds>(now_ - start_); }
  rollout_plan& Plan() { return *plan_; }
  rollout_record LastRecord() const { return record_; }

  /// Whether the conductor takes part; without it, nothing is heard of it.
  bool conductor_works = true;
  /// Whether the new version has targets, apart from the time before they are ready.
  bool new_targets_exist = true;
  int requests = 0;
  int exposed = 0;
  int exposed_at_end = 0;
  int bad = 0;
  /// The greatest excess of the exposure over its bound while the version was unproven.
  double worst_excess = -1e9;
  int to_old_after_success = 0;
  milliseconds ended_at{0};

 private:
  struct entry {
    std::string vm;
    rollout_board board;
    std::unique_ptr<version_router> router;
    time_point reported_at{};
  };

  /// As the controller of a fleet of this size.
  milliseconds ReportInterval() const {
    return version_router::ReportInterval(plan_->State().phase, entries_.size());
  }

  static std::uint64_t WallMs(milliseconds since) {
    return 1'000'000 + static_cast<std::uint64_t>(since.count());
  }

  bool Lost() { return std::uniform_real_distribution<>(0, 1)(random_) < options_.loss; }

  void Record() {
    record_ = plan_->MakeRecord(now_);
    plan_->OnRecorded(record_);
    recorded_at_ = now_;
  }

  void Publish() {
    const rollout_state state = plan_->NextState();
    for (auto& each : entries_) {
      if (!Lost()) each->board.Record(state, now_);
    }
    published_at_ = now_;
  }

  void Report(entry& from) {
    auto report = from.router->MakeReport("shop");
    if (!report) return;
    report->sender = from.vm;
    if (Lost()) return from.router->OnReportLost("shop");
    const rollout_report_reply reply = plan_->OnReport(*report, now_);
    const bool repeated = Lost();
    if (repeated) plan_->OnReport(*report, now_);
    if (Lost()) return from.router->OnReportLost("shop");
    from.router->OnReply("shop", order_.number, reply);
  }

  void Send(entry& from) {
    const bool ready = Since() >= options_.targets_ready_at && new_targets_exist;
    std::vector<member_ptr> eligible(targets_.begin(), targets_.begin() + options_.targets);
    if (ready) eligible = targets_;
    ++requests;
    const auto allowed = from.router->Restrict("shop", true, eligible);
    if (allowed.empty()) return;
    const member_ptr target = allowed[random_() % allowed.size()];
    const bool ordered = target->target->labels.at(kVersionLabel) == "v2";
    const rollout_phase phase = plan_->State().phase;
    proven_ = proven_ || (phase >= rollout_phase::kHalf && phase != rollout_phase::kRolledBack);
    const int route = std::uniform_real_distribution<>(0, 1)(random_) < 0.3 ? 1 : 0;
    auto& recent = recent_[target->vm];
    while (!recent.empty() && now_ - recent.front() > milliseconds(1'000)) recent.pop_front();
    recent.push_back(now_);
    const auto response = respond_(ordered, route, static_cast<double>(recent.size()), Since());
    if (ordered) {
      ++exposed;
      const bool is_bad = response.failed || response.took > milliseconds(60);
      bad += is_bad ? 1 : 0;
      if (!proven_) {
        worst_excess = std::max(worst_excess, exposed - options_.bounds.expose_share * requests -
                                                  options_.bounds.expose_slack);
      }
    } else if (phase == rollout_phase::kSucceeded) {
      ++to_old_after_success;
    }
    version_router::attempt attempt(*from.router, "shop", "route-" + std::to_string(route), *target,
                                    WallMs(Since()));
    attempt.OnOutcome(response.failed ? evidence_outcome::kFailure : evidence_outcome::kSuccess,
                      response.took);
  }

  void Tick() {
    std::poisson_distribution<int> arrivals(options_.rate / 100);
    for (int i = arrivals(random_); i > 0; --i) Send(*entries_[random_() % entries_.size()]);
    if (!conductor_works) return;
    if (Since().count() % 100 == 0) {
      rollout_fleet fleet;
      const bool ready = Since() >= options_.targets_ready_at && new_targets_exist;
      fleet.ordered_targets = ready ? static_cast<std::size_t>(options_.targets) : 0;
      for (const auto& each : entries_) fleet.entries.insert(each->vm);
      const bool changed = plan_->Step(fleet, now_);
      if (changed || now_ - recorded_at_ >= milliseconds(1'000)) Record();
      if (changed || now_ - published_at_ >= milliseconds(250)) Publish();
    }
    for (auto& each : entries_) {
      const bool due =
          now_ - each->reported_at >= ReportInterval() && each->router->HasNews("shop");
      if (!due && !(Since().count() % 100 == 0 && each->router->IsReportUrgent("shop"))) continue;
      each->reported_at = now_;
      Report(*each);
    }
  }

  options options_;
  behaviour respond_;
  std::mt19937_64 random_;
  time_point start_{std::chrono::hours(1)};
  time_point now_ = start_;
  rollout_order order_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<member_ptr> targets_;
  std::map<std::string, std::deque<time_point>> recent_;
  std::unique_ptr<rollout_plan> plan_;
  rollout_record record_;
  bool proven_ = false;
  time_point recorded_at_{};
  time_point published_at_{};
};

}  // namespace catkinmoor::rollout_tests
