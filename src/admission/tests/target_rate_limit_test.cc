#include "admission/target_rate_limit.h"

#include <deque>
#include <map>
#include <random>

#include "admission/admission_queue.h"
#include "routing/load_board.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::admission_action;
using catkinmoor::admission_queue;
using catkinmoor::admission_request;
using catkinmoor::load_board;
using catkinmoor::milliseconds;
using catkinmoor::target_rate_limit;
using catkinmoor::time_point;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr const char* kGate = "gate";
constexpr const char* kInstance = "instance";
constexpr std::uint32_t kSlots = 16;
constexpr milliseconds kStep{5};
constexpr milliseconds kServiceTime{40};
/// Span in which the arrivals at a target are counted.
constexpr milliseconds kSpan{4'000};

/// Daemons that send requests to one target, through the gate beside it. The target names its limit
/// in every response.
class limited_fleet {
 public:
  limited_fleet(int daemons, double limit)
      : limit_(limit), entries_(static_cast<std::size_t>(daemons)), random_(20261205) {
    gate_.SetSlots(kSlots);
  }

  /// Every daemon sends a request with this probability in each step.
  void Run(milliseconds duration, double request_probability) {
    for (const time_point end = now_ + duration; now_ < end; now_ += kStep) {
      FinishRequests();
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (std::bernoulli_distribution(request_probability)(random_)) Send(i);
      }
      Admit(gate_.Advance(now_));
    }
  }

  /// The gate's daemon ends and starts again, without any memory. Requests under way are lost.
  void RestartGate() {
    gate_ = {};
    gate_.SetSlots(kSlots);
    running_.clear();
    waiting_.clear();
  }

  void Join() { entries_.emplace_back(); }
  void Lose() { entries_.pop_back(); }

  /// Cut from the gate, a daemon sends nothing; healed, it still knows the limit that it learnt.
  void SetCut(std::size_t index, bool is_cut) { entries_[index].is_cut = is_cut; }

  void SetLimit(std::optional<double> limit) { limit_ = limit; }

  /// The most requests that reached the target in a span, among those from daemons that had passed
  /// on a response with the limit half a second before.
  std::size_t MostInSpan() const {
    std::size_t most = 0;
    std::deque<time_point> recent;
    for (const time_point each : told_arrivals_) {
      recent.push_back(each);
      while (each - recent.front() > kSpan) recent.pop_front();
      most = std::max(most, recent.size());
    }
    return most;
  }

  std::size_t Arrivals() const { return arrivals_; }

 private:
  struct entry {
    load_board loads;
    std::optional<time_point> told_at;
    bool is_cut = false;
  };
  struct running_request {
    time_point ends_at;
    std::size_t entry;
  };

  void Send(std::size_t index) {
    entry& sender = entries_[index];
    if (sender.is_cut) return;
    const auto known = sender.loads.Limit(kGate, kInstance);
    if (known) gate_.RateLimit().OnCallerReport(*known, now_);
    admission_request request;
    request.ticket = ++ticket_;
    request.route = "a";
    request.max_running = kSlots;
    request.max_queued = 100;
    request.deadline = now_ + milliseconds(1'000);
    const auto decision = gate_.Admit(request, now_);
    waiting_[request.ticket] = index;
    if (decision.action == admission_action::kRun) Arrive(request.ticket);
    if (decision.action == admission_action::kRefuse) waiting_.erase(request.ticket);
  }

  void Admit(const std::vector<catkinmoor::queue_release>& released) {
    for (const auto& each : released) {
      if (each.decision.action == admission_action::kRun) Arrive(each.ticket);
      waiting_.erase(each.ticket);
    }
  }

  void Arrive(std::uint64_t ticket) {
    const std::size_t index = waiting_[ticket];
    waiting_.erase(ticket);
    ++arrivals_;
    if (index < entries_.size()) {
      const auto told_at = entries_[index].told_at;
      if (told_at && now_ - *told_at >= milliseconds(500)) told_arrivals_.push_back(now_);
    }
    running_.push_back({now_ + kServiceTime, index});
  }

  void FinishRequests() {
    while (!running_.empty() && running_.front().ends_at <= now_) {
      const std::size_t index = running_.front().entry;
      running_.pop_front();
      gate_.RateLimit().OnResponse(limit_, now_);
      if (index < entries_.size()) {
        entries_[index].loads.OnLimitReport(kGate, kInstance, limit_);
        if (limit_ && !entries_[index].told_at) entries_[index].told_at = now_;
      }
      Admit(gate_.Finish("a", kServiceTime, now_));
    }
  }

  std::optional<double> limit_;
  admission_queue gate_;
  std::deque<entry> entries_;
  std::deque<running_request> running_;
  std::map<std::uint64_t, std::size_t> waiting_;
  std::deque<time_point> told_arrivals_;
  std::size_t arrivals_ = 0;
  std::uint64_t ticket_ = 0;
  std::mt19937_64 random_;
  time_point now_ = kStart;
};

/// The most requests that may reach a target in a span: one and a half times the limit, and five.
std::size_t Allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

struct fleet_case {
  int daemons;
  double limit;
};
constexpr fleet_case kFleets[] = {{2, 2}, {18, 14.4}, {96, 22.8}};

}  // namespace

Test(target_rate_limit, without_a_limit_allows_every_request) {
  target_rate_limit subject;
  for (int i = 0; i < 1'000; ++i) {
    cr_assert(subject.Allows(kStart));
    subject.Take(kStart);
  }
}

Test(target_rate_limit, after_a_pause_allows_a_quarter_of_a_second_at_once) {
  target_rate_limit subject;
  subject.OnResponse(20, kStart);
  const time_point later = kStart + kSpan;
  int allowed = 0;
  for (; allowed < 100 && subject.Allows(later); ++allowed) subject.Take(later);
  cr_assert(allowed == 5, "%d", allowed);
}

Test(target_rate_limit, of_zero_still_allows_a_request_at_times) {
  target_rate_limit subject;
  subject.OnResponse(0, kStart);
  subject.Take(kStart);
  cr_assert_not(subject.Allows(kStart + milliseconds(3'900)));
  cr_assert(subject.Allows(kStart + milliseconds(4'100)));
}

Test(target_rate_limit, after_a_response_ignores_what_callers_learnt_earlier) {
  target_rate_limit subject;
  subject.OnCallerReport(2, kStart);
  cr_assert(subject.PerSecond() == 2);
  subject.OnResponse(std::nullopt, kStart);
  subject.OnCallerReport(2, kStart);
  cr_assert_not(subject.PerSecond());
}

// Guards against LIMIT of issue 26: more requests than the target's limit, summed over all daemons.
Test(limited_fleet, under_overload_keeps_the_limit_of_the_target) {
  for (const auto& [daemons, limit] : kFleets) {
    limited_fleet subject(daemons, limit);
    subject.Run(milliseconds(12'000), 0.2);
    cr_assert(subject.MostInSpan() <= Allowed(limit), "%zu at %d", subject.MostInSpan(), daemons);
    const auto at_least = static_cast<std::size_t>(0.9 * limit * 11);
    cr_assert(subject.Arrivals() >= at_least, "%zu at %d", subject.Arrivals(), daemons);
  }
}

Test(limited_fleet, with_its_gate_restarted_keeps_the_limit_that_callers_learnt) {
  for (const auto& [daemons, limit] : kFleets) {
    limited_fleet subject(daemons, limit);
    subject.Run(milliseconds(6'000), 0.2);
    for (int i = 0; i < 3; ++i) {
      subject.RestartGate();
      subject.Run(milliseconds(5'000), 0.2);
    }
    cr_assert(subject.MostInSpan() <= Allowed(limit), "%zu at %d", subject.MostInSpan(), daemons);
  }
}

Test(limited_fleet, under_joins_losses_and_cuts_keeps_the_limit) {
  for (const auto& [daemons, limit] : kFleets) {
    limited_fleet subject(daemons, limit);
    subject.Run(milliseconds(5'000), 0.1);
    for (int i = 0; i < daemons; i += 2) subject.SetCut(i, true);
    subject.Run(milliseconds(3'000), 0.2);
    for (int i = 0; i < daemons; i += 2) subject.SetCut(i, false);
    for (int i = 0; i < daemons; ++i) subject.Join();
    subject.Run(milliseconds(3'000), 0.2);
    subject.Lose();
    subject.Run(milliseconds(5'000), 0.4);
    cr_assert(subject.MostInSpan() <= Allowed(limit), "%zu at %d", subject.MostInSpan(), daemons);
  }
}

Test(limited_fleet, after_the_limit_is_lifted_uses_all_slots_again) {
  limited_fleet subject(18, 5);
  subject.Run(milliseconds(6'000), 0.2);
  subject.SetLimit(std::nullopt);
  const std::size_t before = subject.Arrivals();
  subject.Run(milliseconds(5'000), 0.2);
  const auto at_least = static_cast<std::size_t>(0.8 * 4 * kSlots * 1'000 / kServiceTime.count());
  cr_assert(subject.Arrivals() - before >= at_least, "%zu", subject.Arrivals() - before);
}
