#include "load/ledger_check.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::CheckLedgers;
using catkinmoor::ledger_report;

std::string Sent(const std::string& id, const std::string& kind, const std::string& outcome) {
  return R"({"request":")" + id + R"(","kind":")" + kind + R"(","outcome":")" + outcome + "\"}\n";
}

std::string Ran(const std::string& id) { return R"({"request":")" + id + "\"}\n"; }

ledger_report Check(const std::string& callers, const std::string& targets) {
  return Value(CheckLedgers({callers}, {targets}));
}

}  // namespace

Test(ledger_check, with_every_request_run_once_is_clean) {
  const auto report =
      Check(Sent("a", "booking", "answered") + Sent("b", "browse", "not-run"), Ran("a"));
  cr_assert(report.Clean());
  cr_assert(report.sent == 2);
}

Test(ledger_check, with_a_booking_run_twice_names_it) {
  const auto report = Check(Sent("a", "booking", "answered"), Ran("a") + Ran("a"));
  cr_assert(!report.Clean());
  cr_assert(report.booking_run_twice.front() == "a");
}

Test(ledger_check, with_browsing_run_twice_is_clean) {
  cr_assert(Check(Sent("a", "browse", "answered"), Ran("a") + Ran("a")).Clean());
}

Test(ledger_check, with_a_request_told_not_run_that_ran_names_it) {
  const auto report = Check(Sent("a", "browse", "not-run"), Ran("a"));
  cr_assert(report.not_run_but_ran.front() == "a");
}

Test(ledger_check, with_an_answer_nobody_gave_names_it) {
  cr_assert(Check(Sent("a", "browse", "answered"), "").answered_but_not_run.front() == "a");
}

Test(ledger_check, with_a_line_cut_off_by_a_kill_passes_over_it) {
  cr_assert(Check(Sent("a", "booking", "answered"), Ran("a") + R"({"requ)").Clean());
}
