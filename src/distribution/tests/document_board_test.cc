#include "distribution/document_board.h"

#include <rapidcheck.h>

#include <thread>

#include "framework/base/digest.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::document_board;
using catkinmoor::document_version;
using catkinmoor::milliseconds;
using catkinmoor::Now;
using catkinmoor::offer_outcome;
using catkinmoor::Sha256Hex;

std::string DocumentText(std::uint64_t deadline, const std::string& service = "slotboard") {
  return R"({"schema": 1, "service": ")" + service +
         R"(", "owner": "fitting", "routes": [{"name": "a", "match": {"prefix": "/"},
             "class": "browse", "repeatable": true, "deadline_ms": )" +
         std::to_string(deadline) + "}]}";
}

document_version Version(std::uint64_t version, const std::string& text) {
  return {"slotboard", version, version, Sha256Hex(text), text};
}

document_version ValidVersion(std::uint64_t version) {
  return Version(version, DocumentText(100 + version));
}

std::uint64_t InForce(const document_board& board) {
  const auto active = board.InForce("slotboard");
  return active == nullptr ? 0 : active->source.version;
}

/// What is wrong with an offered version, if anything.
enum class damage { kNone, kDigest, kSyntax, kSchema, kOtherService, kCount };

document_version VersionWithDamage(std::uint64_t version, damage kind) {
  switch (kind) {
    case damage::kDigest: {
      document_version mismatched = ValidVersion(version);
      mismatched.digest = Sha256Hex("other");
      return mismatched;
    }
    case damage::kSyntax:
      return Version(version, DocumentText(1).substr(0, 20));
    case damage::kSchema:
      return Version(version, R"({"schema": 99, "service": "slotboard"})");
    case damage::kOtherService:
      return Version(version, DocumentText(1, "bookdesk"));
    case damage::kNone:
    case damage::kCount:
      break;
  }
  return ValidVersion(version);
}

}  // namespace

Test(document_board, offered_valid_and_invalid_versions_in_any_order_matches_the_reference) {
  cr_assert(rc::check([] {
    document_board board;
    std::uint64_t highest_valid = 0;
    std::uint64_t highest_in_force = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
        rc::gen::inRange(1, 9), rc::gen::inRange(0, static_cast<int>(damage::kCount))));
    for (const auto& [version, kind] : steps) {
      const bool valid = static_cast<damage>(kind) == damage::kNone;
      const bool witnessed = *rc::gen::arbitrary<bool>();
      const auto outcome =
          board.Offer(VersionWithDamage(version, static_cast<damage>(kind)), witnessed);
      if (valid) highest_valid = std::max<std::uint64_t>(highest_valid, version);
      if (valid && static_cast<std::uint64_t>(version) == highest_valid) {
        RC_ASSERT(outcome == offer_outcome::kNewer || outcome == offer_outcome::kAlreadyHeld);
      }
      if (!valid) RC_ASSERT(outcome == offer_outcome::kRefused || outcome == offer_outcome::kOlder);
      if (*rc::gen::inRange(0, 3) == 0) board.MarkWitnessed("slotboard", version);
      const auto held = board.Held("slotboard");
      RC_ASSERT((held == nullptr ? 0 : held->source.version) == highest_valid);
      RC_ASSERT(InForce(board) >= highest_in_force);
      highest_in_force = InForce(board);
    }
    board.PutAllInForce();
    RC_ASSERT(InForce(board) == highest_valid);
  }));
}

Test(document_board, offered_an_older_version_late_keeps_the_newer) {
  document_board board;
  board.Offer(ValidVersion(5), true);
  cr_assert(board.Offer(ValidVersion(4), true) == offer_outcome::kOlder);
  cr_assert(InForce(board) == 5);
}

Test(document_board, offered_a_different_text_for_a_held_version_refuses_it) {
  document_board board;
  board.Offer(ValidVersion(5), true);
  cr_assert(board.Offer(Version(5, DocumentText(7)), true) == offer_outcome::kRefused);
  cr_assert(board.InForce("slotboard")->content.routes.front().deadline.count() == 105);
  cr_assert(board.Refusals().size() == 1);
}

Test(document_board, without_a_witness_holds_a_version_but_does_not_put_it_in_force) {
  document_board board;
  board.Offer(ValidVersion(1), true);
  board.Offer(ValidVersion(2), false);
  cr_assert(InForce(board) == 1);
  cr_assert(board.Held("slotboard")->source.version == 2);
  board.MarkWitnessed("slotboard", 1);
  cr_assert(InForce(board) == 1);
  board.MarkWitnessed("slotboard", 2);
  cr_assert(InForce(board) == 2);
}

Test(document_board, offered_a_valid_version_after_a_refused_one_clears_the_refusal) {
  document_board board;
  board.Offer(VersionWithDamage(1, damage::kSyntax), true);
  cr_assert(board.Refusals().size() == 1);
  board.Offer(ValidVersion(2), true);
  cr_assert(board.Refusals().empty());
}

// Guards against an accepted configuration of many routes that is never in force (config-42).
Test(document_board, offered_more_routes_than_an_author_may_submit_puts_them_in_force) {
  constexpr int kRoutes = 5'000;
  std::string text = R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [)";
  for (int i = 0; i < kRoutes; ++i) {
    const std::string number = std::to_string(i);
    text += i == 0 ? "" : ",";
    text.append(R"({"name": "r)").append(number).append(R"(", "match": {"prefix": "/)");
    text.append(number).append(R"(/"}, "class": "browse", "repeatable": true})");
  }
  text += "]}";
  document_board board;
  board.Offer(ValidVersion(1), true);
  cr_assert(board.Offer(Version(2, text), true) == offer_outcome::kNewer);
  cr_assert_eq(InForce(board), 2U);
  cr_assert_eq(board.InForce("slotboard")->content.routes.size(), std::size_t{kRoutes});
}

Test(document_board, offered_a_valid_version_before_a_refused_one_keeps_the_refusal) {
  document_board board;
  board.Offer(VersionWithDamage(8, damage::kSyntax), true);
  board.Offer(ValidVersion(7), true);
  board.Offer(VersionWithDamage(6, damage::kSyntax), true);
  cr_assert_eq(board.Refusals().size(), 1U);
  cr_assert_eq(board.Refusals().front().version, 8U);
  board.Offer(ValidVersion(8), true);
  cr_assert(board.Refusals().empty());
}

Test(document_board, with_the_same_documents_has_the_same_hashes) {
  document_board first;
  document_board second;
  first.Offer(ValidVersion(1), true);
  first.Offer(ValidVersion(3), true);
  second.Offer(ValidVersion(3), false);
  for (std::size_t i = 0; i < document_board::kBuckets; ++i) {
    cr_assert(first.BucketHash(i) == second.BucketHash(i));
  }
}

Test(document_board, offered_a_version_it_holds_does_not_parse_the_text_again) {
  document_board board;
  cr_assert(board.Offer(ValidVersion(3), false) == offer_outcome::kNewer);
  document_version again = ValidVersion(3);
  again.text.clear();
  cr_assert(board.Offer(again, false) == offer_outcome::kAlreadyHeld);
  cr_assert(InForce(board) == 0);
  cr_assert(board.Offer(again, true) == offer_outcome::kAlreadyHeld);
  cr_assert(InForce(board) == 3);
}

// Guards against CONFIG of review case 4: versions that follow each other faster than the witness
// wait never came in force while no neighbour answered.
Test(document_board,
     offered_versions_in_quick_succession_without_a_witness_puts_the_newest_in_force) {
  constexpr milliseconds kWitnessWait{15};
  document_board board;
  board.Offer(ValidVersion(1), true);
  board.Offer(ValidVersion(2), false);
  cr_assert(InForce(board) == 1);
  std::this_thread::sleep_for(kWitnessWait);
  board.Offer(ValidVersion(3), false);
  board.PutInForceUnwitnessedFor(kWitnessWait, Now());
  cr_assert(InForce(board) == 3);
  board.Offer(ValidVersion(4), false);
  board.PutInForceUnwitnessedFor(milliseconds(60'000), Now());
  cr_assert(InForce(board) == 3, "the wait begins anew with the next version");
}

// The wait for a witness was only looked at every so often, so that a version could wait for up to
// twice the limit.
Test(document_board, with_versions_that_lack_a_witness_tells_when_the_first_of_them_is_due) {
  constexpr milliseconds kWitnessWait{250};
  document_board board;
  cr_assert(!board.NextUnwitnessedFor(kWitnessWait));
  board.Offer(ValidVersion(1), true);
  cr_assert(!board.NextUnwitnessedFor(kWitnessWait));
  const auto before = Now();
  board.Offer(ValidVersion(2), false);
  const auto after = Now();
  const auto due = board.NextUnwitnessedFor(kWitnessWait);
  cr_assert(due && *due >= before + kWitnessWait && *due <= after + kWitnessWait);
  board.Offer(ValidVersion(3), false);
  cr_assert(board.NextUnwitnessedFor(kWitnessWait) == due, "a later version waits no longer");
  board.PutInForceUnwitnessedFor(kWitnessWait, *due - milliseconds(1));
  cr_assert(InForce(board) == 1);
  board.PutInForceUnwitnessedFor(kWitnessWait, *due);
  cr_assert(InForce(board) == 3);
  cr_assert(!board.NextUnwitnessedFor(kWitnessWait));
}

// A store that was restored from an older copy gives a version out again with another text.
Test(document_board, with_another_text_of_a_later_era_under_the_same_version_takes_it) {
  document_board board;
  document_version first = ValidVersion(5);
  first.era = 1;
  document_version second = Version(5, DocumentText(900));
  second.era = 2;
  cr_assert(board.Offer(first, true) == offer_outcome::kNewer);
  cr_assert(board.Offer(second, true) == offer_outcome::kNewer);
  cr_assert_eq(board.InForce("slotboard")->source.digest, second.digest);
  cr_assert(board.Offer(first, true) == offer_outcome::kOlder);
  cr_assert_eq(board.InForce("slotboard")->source.digest, second.digest);
}

// Until the operator has written the newest version again, the restored store has an older one.
Test(document_board, with_an_older_version_of_a_later_era_keeps_the_newer_one) {
  document_board board;
  document_version newest = ValidVersion(7);
  newest.era = 1;
  document_version older = ValidVersion(6);
  older.era = 2;
  cr_assert(board.Offer(newest, true) == offer_outcome::kNewer);
  cr_assert(board.Offer(older, true) == offer_outcome::kOlder);
  document_version again = newest;
  again.era = 2;
  cr_assert(board.Offer(again, true) == offer_outcome::kAlreadyHeld);
  cr_assert_eq(InForce(board), 7U);
}

Test(document_board, with_another_text_of_the_same_era_under_the_same_version_refuses_it) {
  document_board board;
  document_version first = ValidVersion(5);
  first.era = 2;
  document_version second = Version(5, DocumentText(900));
  second.era = 2;
  cr_assert(board.Offer(first, true) == offer_outcome::kNewer);
  cr_assert(board.Offer(second, true) == offer_outcome::kRefused);
}
