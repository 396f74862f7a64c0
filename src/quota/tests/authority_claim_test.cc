#include "quota/authority_claim.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::authority_claim;
using catkinmoor::authority_row;
using catkinmoor::boot_time_point;
using catkinmoor::milliseconds;
using catkinmoor::ParseAuthorityRow;
using catkinmoor::SerializeAuthorityRow;

constexpr boot_time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kEra = 4;

boot_time_point At(int ms) { return kStart + milliseconds(ms); }

void Read(authority_claim& claim, const std::optional<authority_row>& row, std::uint64_t revision,
          int ms, std::optional<std::uint64_t> era = kEra) {
  claim.OnRead(row, revision, era, At(ms), At(ms + 1));
}

authority_row Row(const std::string& vm, std::uint64_t incarnation, std::uint64_t epoch,
                  std::uint64_t renewal = 0) {
  return {vm, incarnation, epoch, renewal, true, false, kEra};
}

/// Reads the same row once a second until the time given.
void ReadUntil(authority_claim& claim, const std::optional<authority_row>& row,
               std::uint64_t revision, int from_ms, int to_ms) {
  for (int ms = from_ms; ms <= to_ms; ms += 1'000) Read(claim, row, revision, ms);
}

}  // namespace

Test(authority_claim, of_a_row_that_is_renewed_is_not_made) {
  authority_claim claim("a", 1, milliseconds(0));
  for (int i = 0; i < 10; ++i) {
    Read(claim, Row("b", 1, 3, i), 10 + i, 1'000 * i);
    cr_assert(!claim.NextWrite(true, At(1'000 * i + 1)));
  }
}

Test(authority_claim, of_a_row_unchanged_for_longer_than_the_lease_is_made_with_a_higher_epoch) {
  authority_claim claim("a", 1, milliseconds(0));
  ReadUntil(claim, Row("b", 1, 3), 10, 0, 4'000);
  cr_assert(!claim.NextWrite(true, At(4'001)));
  Read(claim, Row("b", 1, 3), 10, 5'000);
  const auto write = claim.NextWrite(true, At(5'001));
  cr_assert(write.has_value());
  cr_assert_eq(write->row.epoch, 4);
  cr_assert_eq(write->expected_revision, 10);
  cr_assert(!claim.IsAuthority(At(5'002)), "a write that no read has returned does not count");
  Read(claim, write->row, 11, 5'010);
  cr_assert(claim.IsAuthority(At(5'020)));
  cr_assert(claim.IsAuthority(At(9'000)));
  cr_assert(!claim.IsAuthority(At(9'001)), "the lease counts from the sending of the claim");
}

// Failure: the store does not answer for a while, in which the row may have changed and gone back.
Test(authority_claim, after_a_gap_between_reads_waits_for_the_whole_vacancy_again) {
  authority_claim claim("a", 1, milliseconds(0));
  ReadUntil(claim, Row("b", 1, 3), 10, 0, 3'000);
  Read(claim, Row("b", 1, 3), 10, 6'000);
  cr_assert(!claim.NextWrite(true, At(6'001)));
}

// Failure: the store goes back to the row that was read last, after another claim was lost.
Test(authority_claim, in_a_new_era_waits_for_the_whole_vacancy_again) {
  authority_claim claim("a", 1, milliseconds(0));
  ReadUntil(claim, Row("b", 1, 3), 10, 0, 4'000);
  Read(claim, Row("b", 1, 3), 10, 5'000, kEra + 1);
  cr_assert(!claim.NextWrite(true, At(5'001)));
}

// Failure: the daemon restarts on the vm that the row names.
Test(authority_claim, of_a_restarted_holder_is_made_at_once_only_in_the_era_of_the_row) {
  authority_claim restarted("a", 2, milliseconds(0));
  Read(restarted, Row("a", 1, 3), 10, 0);
  cr_assert(restarted.NextWrite(true, At(1)).has_value());
  authority_claim after_restore("a", 2, milliseconds(0));
  Read(after_restore, Row("a", 1, 3), 10, 0, kEra + 1);
  cr_assert(!after_restore.NextWrite(true, At(1)));
  authority_claim unknown_era("a", 2, milliseconds(0));
  Read(unknown_era, Row("a", 1, 3), 10, 0, std::nullopt);
  cr_assert(!unknown_era.NextWrite(true, At(1)));
}

Test(authority_claim, of_a_released_row_is_made_at_once) {
  authority_claim claim("a", 1, milliseconds(0));
  authority_row row = Row("b", 1, 3);
  row.released = true;
  Read(claim, row, 10, 0);
  cr_assert(claim.NextWrite(true, At(1)).has_value());
}

// Failure: the answer to a renewal is lost, and the renewal takes effect only after a second.
Test(authority_claim, whose_renewal_takes_effect_late_counts_from_its_sending) {
  authority_claim claim("a", 2, milliseconds(0));
  Read(claim, Row("a", 1, 3), 10, 0);
  const auto first = claim.NextWrite(true, At(1));
  Read(claim, first->row, 11, 10);
  const auto renewal = claim.NextWrite(true, At(1'000));
  Read(claim, first->row, 11, 2'000);
  const auto repeated = claim.NextWrite(true, At(2'001));
  cr_assert_eq(repeated->expected_revision, 11);
  Read(claim, renewal->row, 12, 3'000);
  cr_assert(claim.IsAuthority(At(4'999)));
  cr_assert(!claim.IsAuthority(At(5'000)));
}

Test(authority_claim, of_a_daemon_whose_row_was_claimed_by_another_ends_at_once) {
  authority_claim claim("a", 2, milliseconds(0));
  Read(claim, Row("a", 1, 3), 10, 0);
  const auto first = claim.NextWrite(true, At(1));
  Read(claim, first->row, 11, 10);
  cr_assert(claim.IsAuthority(At(20)));
  Read(claim, Row("b", 1, 5), 12, 1'000);
  cr_assert(!claim.IsAuthority(At(1'010)));
  cr_assert(!claim.NextWrite(true, At(1'010)));
}

// Failure: the store goes back to a row from before the claim. The daemon writes its row again.
Test(authority_claim, whose_row_went_back_is_written_again_within_the_lease) {
  authority_claim claim("a", 2, milliseconds(0));
  Read(claim, Row("a", 1, 3), 10, 0);
  const auto first = claim.NextWrite(true, At(1));
  Read(claim, first->row, 11, 10);
  Read(claim, Row("b", 1, 2), 9, 1'000, kEra + 1);
  cr_assert(claim.IsAuthority(At(1'010)));
  const auto again = claim.NextWrite(true, At(1'010));
  cr_assert(again.has_value());
  cr_assert_eq(again->expected_revision, 9);
  cr_assert_eq(again->row.epoch, first->row.epoch);
}

Test(authority_claim, row_is_parsed_as_it_was_written) {
  authority_row row = Row("vm-1", 7, 12, 3);
  row.released = true;
  cr_assert(ParseAuthorityRow(SerializeAuthorityRow(row)) == row);
  row.era.reset();
  cr_assert(ParseAuthorityRow(SerializeAuthorityRow(row)) == row);
  for (const char* malformed : {"", "[]", "{}", R"({"vm":3})"}) {
    cr_assert(!ParseAuthorityRow(malformed));
  }
}
