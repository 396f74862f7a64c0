#include <rapidcheck.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "admission/admission_queue.h"
#include "admission/request_ledger.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::admission_action;
using catkinmoor::admission_queue;
using catkinmoor::admission_request;
using catkinmoor::arrival_result;
using catkinmoor::ledger_fate;
using catkinmoor::milliseconds;
using catkinmoor::queue_release;
using catkinmoor::refusal_reason;
using catkinmoor::request_ledger;
using catkinmoor::route_class;
using catkinmoor::time_point;

constexpr milliseconds kRetention{30'000};

admission_request Request(std::uint64_t ticket, route_class kind, int deadline_ms = 1'000) {
  return {ticket, kind, "route", 1'000, 50, time_point{} + milliseconds(deadline_ms)};
}

/// A request with a latency objective.
admission_request RequestWithObjective(std::uint64_t ticket, int objective_ms) {
  admission_request request = Request(ticket, route_class::kBrowse);
  request.objective = time_point{} + milliseconds(objective_ms);
  return request;
}

}  // namespace

Test(admission_queue, with_an_objective_that_cannot_be_met_refuses_at_once) {
  admission_queue queue;
  queue.SetSlots(1);
  cr_assert(queue.Admit(RequestWithObjective(1, 500), time_point{}).action ==
            admission_action::kRun);
  queue.Finish("route", milliseconds(1'000), time_point{});
  cr_assert(queue.Admit(RequestWithObjective(2, 5'000), time_point{}).action ==
            admission_action::kRun);
  cr_assert(queue.Admit(RequestWithObjective(3, 5'000), time_point{}).action ==
            admission_action::kWait);
  const auto refused = queue.Admit(RequestWithObjective(4, 150), time_point{});
  cr_assert(refused.action == admission_action::kRefuse &&
            refused.reason == refusal_reason::kTooLate);
}

Test(admission_queue, with_priorities_runs_the_lowest_rank_first) {
  admission_queue queue;
  queue.SetSlots(1);
  cr_assert(queue.Admit(Request(1, route_class::kBooking), time_point{}).action ==
            admission_action::kRun);
  admission_request second = Request(2, route_class::kBooking);
  second.priority = 1;
  admission_request first = Request(3, route_class::kDownload);
  first.priority = 0;
  cr_assert(queue.Admit(second, time_point{}).action == admission_action::kWait);
  cr_assert(queue.Admit(first, time_point{}).action == admission_action::kWait);
  const auto released = queue.Finish("route", milliseconds(1), time_point{});
  cr_assert(released.size() == 1 && released.front().ticket == 3);
}

Test(request_ledger, over_any_history_never_both_forwards_and_fences_an_id) {
  cr_assert(rc::check([] {
    request_ledger ledger;
    std::set<std::string> forwarded;
    std::set<std::string> fenced;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 5)));
    for (const auto& [number, step] : steps) {
      const std::string id = std::to_string(number);
      if (step == 0) ledger.RecordArrival(id, kRetention, time_point{});
      if (step == 1 && ledger.TryForward(id)) RC_ASSERT(forwarded.insert(id).second);
      if (step == 2) ledger.FenceIfNotForwarded(id);
      if (step >= 3) {
        const auto fate = ledger.Fence(id, step == 3, time_point{});
        if (fate == ledger_fate::kNeverForwarded) fenced.insert(id);
        RC_ASSERT((fate == ledger_fate::kForwarded) == forwarded.contains(id));
      }
    }
    for (const std::string& id : fenced) RC_ASSERT(!forwarded.contains(id));
  }));
}

Test(request_ledger, accessed_by_several_threads_either_forwards_or_fences_each_id) {
  request_ledger ledger;
  constexpr int kIds = 2'000;
  std::vector<std::atomic<int>> forwarded(kIds);
  std::vector<std::atomic<int>> fenced(kIds);
  const auto work = [&](bool fences) {
    for (int i = 0; i < kIds; ++i) {
      const std::string id = std::to_string(i);
      if (fences) {
        const auto fate = ledger.Fence(id, false, time_point{});
        fenced[i] += fate == ledger_fate::kNeverForwarded ? 1 : 0;
      } else {
        ledger.RecordArrival(id, kRetention, time_point{});
        forwarded[i] += ledger.TryForward(id) ? 1 : 0;
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) threads.emplace_back(work, i % 2 == 0);
  for (std::thread& each : threads) each.join();
  for (int i = 0; i < kIds; ++i) {
    cr_assert(forwarded[i] <= 1);
    cr_assert((forwarded[i] == 1) != (fenced[i] >= 1));
  }
}

Test(request_ledger, asked_to_spare_a_waiting_request_lets_it_proceed) {
  request_ledger ledger;
  ledger.RecordArrival("a", kRetention, time_point{});
  cr_assert(ledger.Fence("a", true, time_point{}) == ledger_fate::kWaiting);
  cr_assert(ledger.TryForward("a"));
  ledger.RecordResponse("a");
  cr_assert(ledger.Fence("a", true, time_point{}) == ledger_fate::kResponded);
}

Test(request_ledger, after_its_retention_expires_requests_but_keeps_fences) {
  request_ledger ledger;
  ledger.RecordArrival("a", kRetention, time_point{});
  ledger.Fence("b", false, time_point{});
  ledger.Expire(time_point{} + kRetention);
  cr_assert(ledger.Size() == 1);
  cr_assert(ledger.RecordArrival("b", kRetention, time_point{}) == arrival_result::kFenced);
}

Test(admission_queue, under_any_load_matches_the_reference_model) {
  cr_assert(rc::check([] {
    admission_queue queue;
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 4);
    queue.SetSlots(slots);
    std::set<std::uint64_t> running;
    std::map<std::uint64_t, route_class> waiting;
    time_point now{};
    const auto apply_released = [&](const std::vector<queue_release>& released) {
      for (const auto& each : released) {
        RC_ASSERT(waiting.contains(each.ticket));
        if (each.decision.action == admission_action::kRun) {
          // No request of a lower class may run while one of a higher class waits.
          for (const auto& [ticket, kind] : waiting) {
            RC_ASSERT(kind >= waiting.at(each.ticket) || ticket == each.ticket);
          }
          running.insert(each.ticket);
        }
        waiting.erase(each.ticket);
      }
    };
    std::uint64_t ticket = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      now += milliseconds(1);
      if (step < 4) {
        const auto kind = static_cast<route_class>(step);
        const auto decision = queue.Admit(Request(++ticket, kind, 1'000'000), now);
        if (decision.action == admission_action::kRun) running.insert(ticket);
        if (decision.action == admission_action::kWait) waiting[ticket] = kind;
      } else if (!running.empty()) {
        running.erase(running.begin());
        apply_released(queue.Finish("route", milliseconds(1), now));
      }
      RC_ASSERT(running.size() <= slots);
      RC_ASSERT(queue.InUse() == running.size());
      RC_ASSERT(queue.Queued() == waiting.size());
      RC_ASSERT(waiting.empty() || running.size() == slots);
    }
  }));
}

Test(admission_queue, when_full_admits_a_booking_before_browsing) {
  admission_queue queue;
  queue.SetSlots(1);
  queue.Admit(Request(1, route_class::kBrowse), time_point{});
  queue.Admit(Request(2, route_class::kBrowse), time_point{});
  queue.Admit(Request(3, route_class::kBooking), time_point{});
  const auto released = queue.Finish("route", milliseconds(1), time_point{});
  cr_assert(released.size() == 1);
  cr_assert(released.front().ticket == 3);
}

Test(admission_queue, with_a_wait_longer_than_the_deadline_sheds_browsing_but_not_bookings) {
  admission_queue queue;
  queue.SetSlots(1);
  for (int i = 0; i < 100; ++i) {
    queue.Admit(Request(1, route_class::kBooking), time_point{});
    queue.Finish("route", milliseconds(400), time_point{});
  }
  for (int i = 0; i < 4; ++i) queue.Admit(Request(2, route_class::kBooking), time_point{});
  const auto browse = queue.Admit(Request(9, route_class::kBrowse), time_point{});
  cr_assert(browse.action == admission_action::kRefuse);
  cr_assert(browse.reason == refusal_reason::kTooLate);
  cr_assert(queue.Admit(Request(10, route_class::kBooking), time_point{}).action ==
            admission_action::kWait);
}

Test(admission_queue, when_draining_refuses_waiting_and_new_requests) {
  admission_queue queue;
  queue.SetSlots(1);
  queue.Admit(Request(1, route_class::kBrowse), time_point{});
  queue.Admit(Request(2, route_class::kBrowse), time_point{});
  const auto released = queue.StartDraining();
  cr_assert(released.size() == 1);
  cr_assert(released.front().decision.reason == refusal_reason::kDraining);
  cr_assert(queue.Admit(Request(3, route_class::kBrowse), time_point{}).action ==
            admission_action::kRefuse);
}

namespace {

/// A request of a route with long responses.
admission_request LongResponseRequest(std::uint64_t ticket) {
  admission_request request = Request(ticket, route_class::kDownload);
  request.route = "long";
  return request;
}

/// A queue whose link carries ten long responses per second.
admission_queue SlowLinkQueue() {
  admission_queue queue;
  queue.SetSlots(9);
  queue.SetLinkRate(1'000);
  queue.RecordResponse("long", 100'000, milliseconds(100));
  return queue;
}

}  // namespace

Test(admission_queue, on_a_slow_link_runs_as_many_long_responses_as_it_carries) {
  admission_queue queue = SlowLinkQueue();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    cr_assert(queue.Admit(LongResponseRequest(i), time_point{}).action == admission_action::kRun);
  }
  cr_assert(queue.Admit(LongResponseRequest(4), time_point{}).action == admission_action::kWait);
  const auto released = queue.Finish("long", milliseconds(200), time_point{});
  cr_assert(released.size() == 1 && released.front().ticket == 4);
}

Test(admission_queue, on_a_slow_link_runs_short_responses_while_long_ones_wait) {
  admission_queue queue = SlowLinkQueue();
  for (std::uint64_t i = 1; i <= 4; ++i) queue.Admit(LongResponseRequest(i), time_point{});
  cr_assert(queue.Queued() == 1);
  admission_request last = Request(5, route_class::kDownload);
  cr_assert(queue.Admit(last, time_point{}).action == admission_action::kRun);
}

Test(admission_queue, on_a_slow_link_refuses_a_long_response_that_would_miss_its_objective) {
  admission_queue queue = SlowLinkQueue();
  for (std::uint64_t i = 1; i <= 9; ++i) queue.Admit(LongResponseRequest(i), time_point{});
  admission_request late_request = LongResponseRequest(10);
  late_request.objective = time_point{} + milliseconds(400);
  const auto refused = queue.Admit(late_request, time_point{});
  cr_assert(refused.action == admission_action::kRefuse &&
            refused.reason == refusal_reason::kTooLate);
}
