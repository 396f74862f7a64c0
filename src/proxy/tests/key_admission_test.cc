#include "proxy/internal/key_admission.h"

#include "framework/base/digest.h"
#include "workspace/caller_key.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::boot_time_point;
using catkinmoor::BootNow;
using catkinmoor::DigestKey;
using catkinmoor::document_board;
using catkinmoor::document_version;
using catkinmoor::key_freshness;
using catkinmoor::milliseconds;
using catkinmoor::Sha256Hex;
using namespace catkinmoor::proxy_internal;  // NOLINT(google-build-using-namespace)

constexpr milliseconds kBound{60'000};

/// A version of a document with one workspace and its keys.
document_version Version(std::uint64_t number, const std::string& workspace,
                         const std::string& key) {
  const std::string text =
      R"({"schema": 1, "service": "mesh", "owner": "o", "routes": [{"name": "a", "match":
          {"prefix": "/"}, "class": "browse", "repeatable": true, "deadline_ms": 1000}],
          "workspaces": [{"name": ")" +
      workspace + R"(", "key_digests": [")" + DigestKey(key) + R"("]}]})";
  return {"mesh", number, number, Sha256Hex(text), text};
}

/// The state of an entry, and a call that it admitted by the key "k" of workspace "w".
struct entry_fixture {
  explicit entry_fixture(milliseconds bound = kBound) : proofs(bound) {
    cr_assert(documents.Offer(Version(1, "w", "k"), true) == catkinmoor::offer_outcome::kNewer);
    call.document = documents.InForce("mesh");
    call.caller_workspace = &call.document->content.workspaces.front();
  }

  document_board documents;
  catkinmoor::member_table members;
  catkinmoor::self_record self{catkinmoor::member_record{}};
  catkinmoor::load_board loads;
  catkinmoor::retry_budget budget;
  catkinmoor::quarantine_board quarantine;
  catkinmoor::metrics::registry metrics;
  key_freshness proofs;
  catkinmoor::entry_dependencies deps{documents, members,    self,    loads,
                                      budget,    quarantine, metrics, proofs};
  call_state call;
};

}  // namespace

// Failure: an entry that has lost its proof admits a key, or tells the caller that it is wrong.
Test(key_admission, without_a_proof_is_refused_as_not_run) {
  entry_fixture subject;
  const auto refused = AdmitKey(subject.deps, "k", subject.proofs.ValidUntil(), subject.call);
  cr_assert(refused && refused->status == 503 && refused->reason == kReasonKeyUnconfirmed);
  cr_assert(std::string(refused->outcome) == kOutcomeNotRun);
  cr_assert(subject.metrics.CounterValue("catkinmoor_key_refusals_total",
                                         {{"reason", kReasonKeyUnconfirmed}}) == 1);
}

Test(key_admission, without_a_bound_sets_no_limit) {
  entry_fixture subject(milliseconds(0));
  cr_assert_not(AdmitKey(subject.deps, "k", subject.proofs.ValidUntil(), subject.call));
  cr_assert_not(subject.call.key_valid_until || RenewKey(subject.deps, subject.call));
}

// Failure: a retry runs by a key that was removed, or moved to another workspace, while the first
// attempt was under way. A version counts from when it is held, not only from when it is in force.
Test(key_admission, of_a_retry_is_refused_once_a_held_version_lacks_the_key) {
  for (const auto& [workspace, key] : {std::pair("w", "other"), std::pair("v", "k")}) {
    entry_fixture subject;
    subject.proofs.OnOwnRead(BootNow());
    cr_assert_not(AdmitKey(subject.deps, "k", subject.proofs.ValidUntil(), subject.call));
    cr_assert_not(RenewKey(subject.deps, subject.call));
    subject.documents.Offer(Version(2, workspace, key), false);
    const auto refused = RenewKey(subject.deps, subject.call);
    cr_assert(refused && refused->status == 401);
  }
}

Test(key_admission, of_a_retry_is_refused_when_the_proof_has_become_too_old) {
  entry_fixture subject;
  subject.call.key_digest = DigestKey("k");
  subject.call.key_valid_until = BootNow();
  subject.proofs.OnOwnRead(BootNow() - kBound);
  const auto refused = RenewKey(subject.deps, subject.call);
  cr_assert(refused && refused->reason == kReasonKeyUnconfirmed);
}

// Failure: a gate forwards a call that waited longer than the entry's proof lasts.
Test(key_admission, at_a_gate_ends_with_the_time_that_the_entry_sent) {
  const auto received = [](std::optional<boot_time_point> valid_until) {
    gate_call call{.attempt = "a", .service = "s", .key_valid_until = valid_until};
    bhttp::fields headers;
    WriteCallHeaders(call, headers);
    return ReadCallHeaders(headers).value();
  };
  cr_assert_not(IsKeyExpired(received(std::nullopt)));
  cr_assert_not(IsKeyExpired(received(BootNow() + kBound)));
  cr_assert(*received(BootNow() + kBound).key_valid_until <= BootNow() + kBound);
  cr_assert(IsKeyExpired(received(BootNow() - kBound)));
}
