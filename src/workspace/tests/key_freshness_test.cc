#include "workspace/key_freshness.h"

#include <random>

#include <criterion/criterion.h>

namespace {

using catkinmoor::boot_time_point;
using catkinmoor::key_freshness;
using catkinmoor::milliseconds;

constexpr milliseconds kBound{5'000};
/// The guaranteed service after the last path to the source is lost, as a share of the bound.
constexpr double kServedShare = 0.6;

constexpr boot_time_point At(int ms) {
  return boot_time_point(std::chrono::hours(1)) + milliseconds(ms);
}

}  // namespace

// A daemon that starts in the gap has no proof, whatever documents it was sent.
Test(key_freshness, without_a_proof_admits_nothing) {
  const key_freshness subject(kBound);
  cr_assert_not(subject.IsFresh(At(0)));
  cr_assert(subject.Age(At(0)) == milliseconds::max());
  cr_assert(subject.OwnReadDue(0.5) == boot_time_point::min());
}

Test(key_freshness, without_a_bound_always_admits_and_never_needs_a_read) {
  const key_freshness subject(milliseconds(0));
  cr_assert(subject.IsFresh(At(0)));
  cr_assert(subject.OwnReadDue(0.5) == boot_time_point::max());
}

Test(key_freshness, of_a_read_ends_before_the_bound_from_when_it_was_sent) {
  key_freshness subject(kBound);
  subject.OnOwnRead(At(0));
  cr_assert(subject.IsFresh(At(4'800)));
  cr_assert_not(subject.IsFresh(At(4'950)));
}

// Failure: a suspension or freeze of several seconds. The clock has jumped when the daemon resumes,
// and an answer that waited in a socket meanwhile proves nothing newer.
Test(key_freshness, after_a_jump_of_the_clock_admits_nothing_until_a_query_sent_since) {
  key_freshness subject(kBound);
  subject.OnOwnRead(At(0));
  const boot_time_point resumed = At(60'000);
  cr_assert_not(subject.IsFresh(resumed));
  subject.OnOwnRead(At(500));
  subject.OnPeerProof(At(600), milliseconds(10));
  cr_assert_not(subject.IsFresh(resumed));
  subject.OnOwnRead(resumed);
  cr_assert(subject.IsFresh(resumed));
}

// Failure: an answer is delayed on its way. It counts from when it was asked for, less the age that
// the other daemon stated.
Test(key_freshness, of_a_delayed_answer_adds_the_ages_up) {
  key_freshness subject(kBound);
  subject.OnPeerProof(At(1'000), milliseconds(900));
  cr_assert(subject.Age(At(4'000)) == milliseconds(3'900));
  cr_assert_not(subject.IsFresh(At(5'000)));
  subject.OnPeerProof(At(1'000), milliseconds(-900));
  cr_assert(subject.Age(At(4'000)) == milliseconds(3'000));
}

// Failure: answers arrive in another order than they were asked for.
Test(key_freshness, with_an_older_proof_after_a_newer_keeps_the_newer) {
  key_freshness subject(kBound);
  subject.OnOwnRead(At(1'000));
  subject.OnOwnRead(At(400));
  subject.OnPeerProof(At(1'200), milliseconds(700));
  cr_assert(*subject.ProvedAt() == At(1'000));
}

// Failure: a daemon that reads the source as a substitute takes its own reads for a reader's,
// stops, and its proof ages.
Test(key_freshness, with_its_own_reads_only_goes_on_reading) {
  key_freshness subject(kBound);
  subject.OnReaderHeard(At(0));
  subject.OnOwnRead(At(10'000));
  cr_assert(subject.OwnReadDue(0.5) == At(2'500));
  cr_assert(subject.ReadsSource(At(11'000)));
  cr_assert_not(subject.ReadsSource(At(11'600)));
  subject.OnReaderHeard(At(10'000));
  cr_assert(subject.OwnReadDue(0.5) == At(12'500));
}

Test(key_freshness, when_refusing_names_the_time_of_the_next_answer) {
  key_freshness subject(kBound);
  cr_assert(subject.RetryAfter(At(0)) == milliseconds(100));
  subject.OnQueryPlanned(At(400));
  cr_assert(subject.RetryAfter(At(0)) == milliseconds(450));
  cr_assert(subject.RetryAfter(At(5'000)) == milliseconds(100));
  subject.OnQueryPlanned(At(60'000));
  cr_assert(subject.RetryAfter(At(0)) == milliseconds(1'000));
}

// Failure: a cut ends the last path at any moment. On a virtual clock a reader polls for 0.12 of
// the bound and another daemon asks it, over links of 20 ms. Both go on admitting for 0.6 of the
// bound after the cut, and admit nothing once the bound has passed since it.
Test(key_freshness, with_the_last_path_cut_at_any_moment_serves_as_long_as_it_must_and_may) {
  constexpr int kPollMs = 600;
  constexpr int kLinkMs = 20;
  std::mt19937 random(20261204);
  for (int run = 0; run < 2'000; ++run) {
    key_freshness reader(kBound);
    key_freshness asker(kBound);
    const int interval = static_cast<int>(asker.QueryInterval().count());
    const int cut = std::uniform_int_distribution<int>(20'000, 24'000)(random);
    int sent = std::uniform_int_distribution<int>(0, kPollMs)(random);
    int query = std::uniform_int_distribution<int>(0, interval)(random) + 5'000;
    while (query + 2 * kLinkMs < cut) {
      // The reader's answers that have arrived when the query does.
      for (; sent + kPollMs + 2 * kLinkMs <= query + kLinkMs; sent += kPollMs + 2 * kLinkMs) {
        reader.OnOwnRead(At(sent));
      }
      const milliseconds age = reader.Age(At(query + kLinkMs));
      cr_assert(asker.IsUsualAge(age));
      asker.OnPeerProof(At(query), age);
      query += interval + 2 * kLinkMs;
    }
    const boot_time_point served_until =
        At(cut) + std::chrono::duration_cast<milliseconds>(kServedShare * kBound);
    cr_assert(reader.IsFresh(served_until) && asker.IsFresh(served_until));
    cr_assert_not(reader.IsFresh(At(cut) + kBound) || asker.IsFresh(At(cut) + kBound));
  }
}
