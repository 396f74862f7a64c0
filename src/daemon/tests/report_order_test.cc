#include <rapidcheck.h>

#include <algorithm>

#include "daemon/report_order.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::report_order;

}  // namespace

Test(report_order, with_a_report_held_up_behind_a_later_one_keeps_the_later) {
  report_order order;
  cr_assert(order.Take({"i-1", 100, 2}));
  cr_assert(!order.Take({"i-1", 100, 1}));
  cr_assert(order.Take({"i-1", 100, 3}));
}

Test(report_order, with_a_report_of_an_earlier_start_keeps_the_present_one) {
  report_order order;
  cr_assert(order.Take({"i-1", 100, 9}));
  cr_assert(order.Take({"i-2", 200, 1}));
  cr_assert(!order.Take({"i-1", 100, 10}));
}

Test(report_order, with_the_same_instance_started_again_counts_its_reports_anew) {
  report_order order;
  cr_assert(order.Take({"i-1", 100, 9}));
  cr_assert(order.Take({"i-1", 200, 1}));
  cr_assert(!order.Take({"i-1", 100, 10}));
}

Test(report_order, after_a_good_bye_believes_no_report_of_that_start) {
  report_order order;
  cr_assert(order.Take({"i-1", 100, 4}));
  order.Depart("i-1", 100);
  cr_assert(!order.Take({"i-1", 100, 5}));
  cr_assert(order.Take({"i-1", 101, 1}));
}

Test(report_order, without_times_of_start_believes_no_instance_that_was_followed) {
  report_order order;
  cr_assert(order.Take({"i-1", 0, 4}));
  cr_assert(order.Take({"i-2", 0, 1}));
  cr_assert(!order.Take({"i-1", 0, 5}));
}

// Whatever order reports arrive in, the last one believed is the newest that arrived.
Test(report_order, with_reports_in_any_order_ends_with_the_newest) {
  const bool holds = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& sent) {
    report_order order;
    std::pair<int, int> newest{-1, -1};
    for (const auto& [start, sequence] : sent) {
      const int born = 1 + start % 4;
      const std::pair<int, int> rank{born, sequence % 8};
      const bool taken =
          order.Take({"i-" + std::to_string(born % 2), static_cast<std::uint64_t>(born),
                      static_cast<std::uint64_t>(rank.second)});
      RC_ASSERT(taken == (rank >= newest));
      newest = std::max(newest, rank);
    }
  });
  cr_assert(holds);
}
