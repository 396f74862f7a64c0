// Compares the admission queue with a plain FIFO queue at twice the capacity, in simulated time.

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "admission/admission_queue.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::admission_action;
using catkinmoor::admission_queue;
using catkinmoor::admission_request;
using catkinmoor::milliseconds;
using catkinmoor::route_class;
using catkinmoor::time_point;

constexpr std::uint32_t kSlots = 10;
constexpr milliseconds kService{20};
constexpr int kSeconds = 20;
constexpr int kArrivalsPerSecond = 1'000;
constexpr double kCapacity = kSeconds * 1000.0 / kService.count() * kSlots;
constexpr milliseconds kBrowseDeadline{300};
constexpr milliseconds kBookingDeadline{8'000};

/// Counts of a run under overload; good requests ended before their deadline.
struct overload_result {
  int good = 0;
  int bookings = 0;
  int good_bookings = 0;
};

admission_request RandomRequest(std::uint64_t ticket, time_point now, std::mt19937& random) {
  const bool booking = random() % 5 == 0;
  return {ticket,
          booking ? route_class::kBooking : route_class::kBrowse,
          booking ? "book" : "browse",
          100'000,
          100'000,
          now + (booking ? kBookingDeadline : kBrowseDeadline)};
}

/// A running request. The priority queue holds the one that ends first at its top.
struct running_request {
  time_point end;
  admission_request request;
  bool operator>(const running_request& other) const { return end > other.end; }
};

/// Simulates arrivals and ends of requests in order of time.
class overload_simulation {
 public:
  using start_function = std::function<void(const admission_request&)>;
  using arrive_function = std::function<void(const admission_request&, time_point)>;
  using finish_function = std::function<void(const admission_request&, time_point)>;

  overload_result Run(const arrive_function& arrive, const finish_function& finish) {
    std::mt19937 random(7);
    const time_point begin{};
    for (int i = 0; i < kSeconds * kArrivalsPerSecond; ++i) {
      const time_point now = begin + milliseconds(i * 1'000 / kArrivalsPerSecond);
      EndUntil(now, finish);
      const admission_request request =
          RandomRequest(static_cast<std::uint64_t>(i) + 1, now, random);
      if (request.kind == route_class::kBooking) ++result_.bookings;
      now_ = now;
      arrive(request, now);
    }
    EndUntil(time_point::max(), finish);
    return result_;
  }

  void Start(const admission_request& request) { running_.push({now_ + kService, request}); }

 private:
  void EndUntil(time_point now, const finish_function& finish) {
    while (!running_.empty() && running_.top().end <= now) {
      const running_request ended = running_.top();
      running_.pop();
      now_ = ended.end;
      if (ended.end <= ended.request.deadline) {
        ++result_.good;
        if (ended.request.kind == route_class::kBooking) ++result_.good_bookings;
      }
      finish(ended.request, ended.end);
    }
  }

  std::priority_queue<running_request, std::vector<running_request>, std::greater<>> running_;
  time_point now_{};
  overload_result result_;
};

/// First in, first out, without load shedding.
overload_result RunFifoQueue() {
  overload_simulation simulation;
  std::deque<admission_request> fifo;
  std::uint32_t in_use = 0;
  const auto start_waiting = [&] {
    for (; in_use < kSlots && !fifo.empty(); ++in_use) {
      simulation.Start(fifo.front());
      fifo.pop_front();
    }
  };
  return simulation.Run(
      [&](const admission_request& request, time_point) {
        fifo.push_back(request);
        start_waiting();
      },
      [&](const admission_request&, time_point) {
        --in_use;
        start_waiting();
      });
}

overload_result RunAdmissionQueue() {
  overload_simulation simulation;
  admission_queue queue;
  queue.SetSlots(kSlots);
  std::map<std::uint64_t, admission_request> waiting;
  return simulation.Run(
      [&](const admission_request& request, time_point now) {
        const auto decision = queue.Admit(request, now);
        if (decision.action == admission_action::kRun) simulation.Start(request);
        if (decision.action == admission_action::kWait) waiting.emplace(request.ticket, request);
      },
      [&](const admission_request& request, time_point now) {
        for (const auto& each : queue.Finish(request.route, kService, now)) {
          if (each.decision.action == admission_action::kRun)
            simulation.Start(waiting.at(each.ticket));
          waiting.erase(each.ticket);
        }
      });
}

}  // namespace

Test(admission_queue, at_twice_the_capacity_keeps_goodput_where_a_fifo_queue_loses_it) {
  const overload_result fifo_result = RunFifoQueue();
  const overload_result queue_result = RunAdmissionQueue();
  std::printf("good requests: %d FIFO, %d with shedding, capacity %.0f\n", fifo_result.good,
              queue_result.good, kCapacity);
  cr_assert(queue_result.good >= 0.9 * kCapacity);
  cr_assert(fifo_result.good < 0.5 * kCapacity);
}

Test(admission_queue, at_twice_the_capacity_admits_every_booking) {
  const overload_result queue_result = RunAdmissionQueue();
  cr_assert(queue_result.good_bookings == queue_result.bookings);
}
