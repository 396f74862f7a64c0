#include "load/ledger_check.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::CheckLedgers;
using catkinmoor::ledger_report;

std::string CallerLine(const std::string& id, const std::string& kind, const std::string& outcome) {
  return R"({"request":")" + id + R"(","kind":")" + kind + R"(","outcome":")" + outcome + "\"}\n";
}

std::string TargetLine(const std::string& id) { return R"({"request":")" + id + "\"}\n"; }

ledger_report Check(const std::string& callers, const std::string& targets) {
  return Value(CheckLedgers({callers}, {targets}));
}

}  // namespace

Test(ledger_check, with_every_answered_request_run_once_is_clean) {
  const auto report =
      Check(CallerLine("a", "booking", "answered") + CallerLine("b", "browse", "not-run"),
            TargetLine("a"));
  cr_assert(report.HasNoViolations());
  cr_assert(report.sent == 2);
}

Test(ledger_check, with_a_booking_run_twice_lists_it) {
  const auto report =
      Check(CallerLine("a", "booking", "answered"), TargetLine("a") + TargetLine("a"));
  cr_assert(!report.HasNoViolations());
  cr_assert(report.booking_run_twice.front() == "a");
}

Test(ledger_check, with_browsing_run_twice_is_clean) {
  cr_assert(Check(CallerLine("a", "browse", "answered"), TargetLine("a") + TargetLine("a"))
                .HasNoViolations());
}

Test(ledger_check, with_a_request_reported_not_run_that_ran_lists_it) {
  const auto report = Check(CallerLine("a", "browse", "not-run"), TargetLine("a"));
  cr_assert(report.not_run_but_ran.front() == "a");
}

Test(ledger_check, with_an_answered_request_that_no_target_ran_lists_it) {
  cr_assert(Check(CallerLine("a", "browse", "answered"), "").answered_but_not_run.front() == "a");
}

Test(ledger_check, with_an_incomplete_last_line_ignores_it) {
  cr_assert(Check(CallerLine("a", "booking", "answered"), TargetLine("a") + R"({"requ)")
                .HasNoViolations());
}
