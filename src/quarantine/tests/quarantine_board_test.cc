#include "quarantine/quarantine_board.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::crash_report;
using catkinmoor::quarantine_board;
using catkinmoor::RequestFingerprint;
using catkinmoor::time_point;

crash_report Crash(const std::string& reporter, std::uint64_t number) {
  return {"f", reporter, number, false};
}

}  // namespace

Test(quarantine_board, with_one_crash_accepts_the_request) {
  quarantine_board board;
  board.Record(Crash("a", 1), time_point{});
  cr_assert(!board.IsQuarantined("f", time_point{}));
}

Test(quarantine_board, with_two_crashes_refuses_the_request) {
  quarantine_board board;
  board.Record(Crash("a", 1), time_point{});
  board.Record(Crash("b", 1), time_point{});
  cr_assert(board.IsQuarantined("f", time_point{}));
  cr_assert(!board.IsQuarantined("g", time_point{}));
}

Test(quarantine_board, given_one_crash_report_twice_counts_it_once) {
  quarantine_board board;
  cr_assert(board.Record(Crash("a", 1), time_point{}));
  cr_assert(!board.Record(Crash("a", 1), time_point{}));
  cr_assert(!board.IsQuarantined("f", time_point{}));
}

Test(quarantine_board, with_a_success_between_crashes_refuses_nothing) {
  quarantine_board board;
  board.Record(Crash("a", 1), time_point{});
  cr_assert(board.OnResponse("f"));
  board.Record(Crash("a", 2), time_point{});
  cr_assert(!board.IsQuarantined("f", time_point{}));
}

Test(quarantine_board, when_released_accepts_the_request_again) {
  quarantine_board board;
  board.Record(Crash("a", 1), time_point{});
  board.Record(Crash("a", 2), time_point{});
  board.Record({"f", "operator", 1, true}, time_point{});
  cr_assert(!board.IsQuarantined("f", time_point{}));
  cr_assert(!board.Record(Crash("a", 2), time_point{}));
  cr_assert(!board.IsQuarantined("f", time_point{}));
}

Test(quarantine_board, after_its_retention_expires_the_entry) {
  quarantine_board board;
  board.Record(Crash("a", 1), time_point{});
  board.Record(Crash("a", 2), time_point{});
  const time_point later = time_point{} + quarantine_board::kRetention;
  cr_assert(!board.IsQuarantined("f", later));
  board.Expire(later);
  cr_assert(board.Quarantined(later).empty());
}

Test(fingerprint, of_a_request_sent_again_is_equal_and_of_another_differs) {
  cr_assert(RequestFingerprint("s", "POST", "/a", "x") ==
            RequestFingerprint("s", "POST", "/a", "x"));
  cr_assert(RequestFingerprint("s", "POST", "/a", "x") !=
            RequestFingerprint("s", "POST", "/a", "y"));
}
