#include <rapidcheck.h>

#include <algorithm>

#include "daemon/stale_report_filter.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::stale_report_filter;

}  // namespace

Test(stale_report_filter, with_a_report_delayed_behind_a_later_one_keeps_the_later) {
  stale_report_filter filter;
  cr_assert(filter.Accept({"i-1", 100, 2}));
  cr_assert(!filter.Accept({"i-1", 100, 1}));
  cr_assert(filter.Accept({"i-1", 100, 3}));
}

Test(stale_report_filter, with_a_report_of_an_earlier_start_keeps_the_current_one) {
  stale_report_filter filter;
  cr_assert(filter.Accept({"i-1", 100, 9}));
  cr_assert(filter.Accept({"i-2", 200, 1}));
  cr_assert(!filter.Accept({"i-1", 100, 10}));
}

Test(stale_report_filter, with_a_restart_under_the_same_name_accepts_its_reports_from_the_first) {
  stale_report_filter filter;
  cr_assert(filter.Accept({"i-1", 100, 9}));
  cr_assert(filter.Accept({"i-1", 200, 1}));
  cr_assert(!filter.Accept({"i-1", 100, 10}));
}

Test(stale_report_filter, after_a_departure_rejects_later_reports_of_that_start) {
  stale_report_filter filter;
  cr_assert(filter.Accept({"i-1", 100, 4}));
  filter.MarkDeparted("i-1", 100);
  cr_assert(!filter.Accept({"i-1", 100, 5}));
  cr_assert(filter.Accept({"i-1", 101, 1}));
}

Test(stale_report_filter, without_start_times_rejects_reports_of_a_replaced_instance) {
  stale_report_filter filter;
  cr_assert(filter.Accept({"i-1", 0, 4}));
  cr_assert(filter.Accept({"i-2", 0, 1}));
  cr_assert(!filter.Accept({"i-1", 0, 5}));
}

// In whatever order reports arrive, the last accepted one is the newest that arrived.
Test(stale_report_filter, with_reports_in_any_order_ends_with_the_newest) {
  const bool holds = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& sent) {
    stale_report_filter filter;
    std::pair<int, int> newest{-1, -1};
    for (const auto& [start, sequence] : sent) {
      const int started_at = 1 + start % 4;
      const std::pair<int, int> position{started_at, sequence % 8};
      const bool accepted = filter.Accept({"i-" + std::to_string(started_at % 2),
                                           static_cast<std::uint64_t>(started_at),
                                           static_cast<std::uint64_t>(position.second)});
      RC_ASSERT(accepted == (position >= newest));
      newest = std::max(newest, position);
    }
  });
  cr_assert(holds);
}
