// Order of the responses to requests that a caller sends before earlier ones are answered.

#include "proxy/internal/entry/response_order.h"

#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace {

using catkinmoor::proxy_internal::response_order;

constexpr std::size_t kMaxRequests = 4;
constexpr std::size_t kMaxBytes = 100;

}  // namespace

// Guards against responses that overtake: whichever call ends first, the oldest has the turn.
Test(response_order, of_calls_that_end_in_any_order_gives_turns_in_the_order_of_requests) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    response_order order(kMaxRequests, kMaxBytes);
    std::vector<response_order::ticket> unanswered;
    response_order::ticket last_answered = 0;
    for (int step = 0; step < 100; ++step) {
      if (order.HasRoom() && random() % 2 == 0) {
        unanswered.push_back(order.Add(1));
      } else if (!unanswered.empty()) {
        int turns = 0;
        for (const auto each : unanswered) turns += order.IsTurn(each) ? 1 : 0;
        cr_assert_eq(turns, 1);
        cr_assert(order.IsTurn(unanswered.front()));
        cr_assert(unanswered.front() >= last_answered);
        last_answered = unanswered.front();
        order.Finish(last_answered, true);
        unanswered.erase(unanswered.begin());
      }
      cr_assert_eq(order.IsEmpty(), unanswered.empty());
    }
  }
}

// Guards against a stop that closes a connection in front of requests that run.
Test(response_order, of_several_requests_knows_which_have_others_behind_them) {
  response_order order(kMaxRequests, kMaxBytes);
  const auto first = order.Add(1);
  cr_assert_not(order.HasBehind(first));
  const auto second = order.Add(1);
  cr_assert(order.HasBehind(first));
  cr_assert_not(order.HasBehind(second));
  order.Finish(second, true);
  cr_assert_not(order.HasBehind(first));
}

// Guards against a response, or a request that must not run, behind one that closed the connection.
Test(response_order, behind_a_response_that_closes_gives_no_turn) {
  response_order order(kMaxRequests, kMaxBytes);
  const auto first = order.Add(1);
  const auto second = order.Add(1);
  order.Finish(first, false);
  cr_assert(order.IsClosed());
  cr_assert(!order.IsTurn(second));
  cr_assert(!order.HasRoom());
  order.Finish(second, true);
  cr_assert(order.IsEmpty() && order.IsClosed());
}

Test(response_order, after_the_caller_left_gives_no_turn) {
  response_order order(kMaxRequests, kMaxBytes);
  const auto first = order.Add(1);
  order.Close();
  cr_assert(!order.IsTurn(first) && !order.HasRoom() && !order.IsFinished(first));
}

// Guards against a caller that makes a daemon hold any number of requests.
Test(response_order, has_room_within_its_bounds_of_requests_and_bytes) {
  response_order order(kMaxRequests, kMaxBytes);
  std::vector<response_order::ticket> added;
  for (std::size_t i = 0; i < kMaxRequests; ++i) {
    cr_assert(order.HasRoom());
    added.push_back(order.Add(1));
  }
  cr_assert(!order.HasRoom());
  order.Finish(added[0], true);
  cr_assert(order.HasRoom());
  const auto large = order.Add(kMaxBytes);
  cr_assert(!order.HasRoom());
  for (std::size_t i = 1; i < kMaxRequests; ++i) order.Finish(added[i], true);
  cr_assert(!order.HasRoom());
  order.Finish(large, true);
  cr_assert(order.HasRoom() && order.IsEmpty());
}
