#include "distribution/key_proof_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kReaderChoiceSeed = 11;
/// Queries are spaced by a random part of the interval, so that the daemons that began together do
/// not go on asking at the same moments.
constexpr int kMinIntervalPercent = 80;
/// Wait after a round in which documents had to be fetched, or that took longer than the interval.
constexpr milliseconds kMinPause{50};

std::int64_t AgeForLog(milliseconds age) {
  return age == milliseconds::max() ? -1 : static_cast<std::int64_t>(age.count());
}

}  // namespace

key_proof_controller::key_proof_controller(asio::io_context& context,
                                           distribution_dependencies deps, peer_client& peers,
                                           record_exchange& exchange, spread_strategy& strategy,
                                           std::uint64_t seed)
    : context_(context),
      deps_(deps),
      peers_(peers),
      exchange_(exchange),
      strategy_(strategy),
      random_(seed),
      timer_(context) {}

void key_proof_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

asio::awaitable<void> key_proof_controller::Run() {
  if (!deps_.key_proofs.IsBounded()) co_return;
  std::uniform_int_distribution<int> percent(kMinIntervalPercent, 100);
  while (!stopping_) {
    LogTransition();
    const time_point started = Now();
    const bool found = co_await AskCandidates();
    if (stopping_) co_return;
    LogTransition();
    const milliseconds interval = deps_.key_proofs.QueryInterval() * percent(random_) / 100;
    time_point next = std::max(started + interval, Now() + kMinPause);
    if (!found && fetching_) next = Now() + kMinPause;
    const auto pause = std::chrono::duration_cast<boot_clock::duration>(next - Now());
    deps_.key_proofs.OnQueryPlanned(BootNow() + pause);
    timer_.expires_at(next);
    co_await timer_.async_wait(kAwait);
  }
}

std::vector<key_proof_controller::candidate> key_proof_controller::Candidates() {
  const auto view = deps_.members.View();
  const member_record self = deps_.self.Get();
  std::vector<candidate> candidates;
  bool precedes_self = true;
  for (const member_ptr& each : Readers(*view, self.region, kProofCandidates)) {
    if (each->vm == self.vm) {
      precedes_self = false;
    } else {
      candidates.push_back({each, precedes_self});
    }
  }
  // Each half of the region asks another reader first.
  if (candidates.size() > 1 && StableHash(self.vm, kReaderChoiceSeed) % 2 == 1) {
    std::swap(candidates[0], candidates[1]);
  }
  const bool is_needed = !deps_.key_proofs.IsUsualAge(deps_.key_proofs.Age(BootNow()));
  if (!is_needed) return candidates;
  // The whole region may have lost the source. Daemons of another region are asked only then, since
  // messages between regions are dear.
  std::vector<std::string> others;
  for (const auto& [region, data_centres] : view->regions) {
    if (region != self.region) others.push_back(region);
  }
  if (others.empty()) return candidates;
  std::uniform_int_distribution<std::size_t> index(0, others.size() - 1);
  const auto readers = Readers(*view, others[index(random_)], 2);
  if (!readers.empty()) candidates.push_back({readers[rounds_ % readers.size()], false});
  return candidates;
}

asio::awaitable<bool> key_proof_controller::AskCandidates() {
  ++rounds_;
  const boot_time_point now = BootNow();
  const bool is_reader = strategy_.ReadsSource(*deps_.members.View(), deps_.self.Get());
  if (is_reader && deps_.key_proofs.ReadsSource(now)) co_return true;
  std::vector<candidate> candidates = Candidates();
  if (!candidates.empty() && !deps_.key_proofs.IsFresh(now)) {
    // Everyone may have lost the source for long. One query a round is then enough to notice its
    // return within a few rounds.
    candidates = {candidates[rounds_ % candidates.size()]};
  }
  for (const candidate& each : candidates) {
    const bool found = co_await Ask(each);
    if (found) co_return true;
    if (stopping_) break;
  }
  co_return false;
}

asio::awaitable<bool> key_proof_controller::Ask(candidate asked) {
  const std::uint64_t asked_hash = exchange_.DocumentHash();
  confirm_request message{deps_.self.Get().vm, asked.member->vm, asked_hash};
  const boot_time_point asked_at = BootNow();
  const auto answered = co_await peers_.Confirm(asked.member->control, std::move(message),
                                                deps_.key_proofs.QueryTimeout());
  if (!Ok(answered) || !Value(answered).known) {
    CountQuery(Ok(answered) ? "unproved" : "unanswered");
    co_return false;
  }
  const confirm_reply& reply = Value(answered);
  if (!HoldsDocuments(reply, asked_hash)) {
    CountQuery("documents-missing");
    if (!std::exchange(fetching_, true)) {
      asio::co_spawn(context_, FetchFrom(asked.member), asio::detached);
    }
    co_return false;
  }
  deps_.key_proofs.OnPeerProof(asked_at, reply.age);
  if (reply.reads_source && asked.relieves) deps_.key_proofs.OnReaderHeard(asked_at - reply.age);
  const bool is_usual = deps_.key_proofs.IsUsualAge(reply.age);
  CountQuery(is_usual ? "proved" : "too-old");
  // An answer passed on from a reader is a proof, but does not show that a reader is at work.
  co_return is_usual && (reply.reads_source || !asked.relieves);
}

bool key_proof_controller::HoldsDocuments(const confirm_reply& reply,
                                          std::uint64_t asked_hash) const {
  if (reply.document_hash == asked_hash) return true;
  return std::all_of(
      reply.documents.begin(), reply.documents.end(), [&](const document_summary& each) {
        const auto held = deps_.documents.Held(each.service);
        if (held == nullptr) return false;
        const document_summary own = SummaryOf(held->source);
        const bool is_same = own.version == each.version && own.digest == each.digest;
        return is_same || Supersedes(own, each);
      });
}

asio::awaitable<void> key_proof_controller::FetchFrom(member_ptr member) {
  co_await exchange_.Reconcile(*member);
  fetching_ = false;
}

asio::awaitable<confirm_reply> key_proof_controller::OnConfirm(confirm_request message) {
  confirm_reply reply;
  // The proof is read before the documents, which are then at least as new.
  const auto proved_at = deps_.key_proofs.ProvedAt();
  if (message.recipient != deps_.self.Get().vm || !proved_at) co_return reply;
  const boot_time_point now = BootNow();
  reply.known = true;
  reply.age = std::chrono::ceil<milliseconds>(now - *proved_at);
  reply.reads_source = deps_.key_proofs.ReadsSource(now);
  reply.last_change = deps_.documents.LastChange();
  reply.document_hash = exchange_.DocumentHash();
  if (reply.document_hash == message.document_hash) co_return reply;
  for (std::size_t i = 0; i < document_board::kBuckets; ++i) {
    for (const parsed_document_ptr& each : deps_.documents.HeldInBucket(i)) {
      reply.documents.push_back(SummaryOf(each->source));
    }
  }
  co_return reply;
}

void key_proof_controller::CountQuery(const char* outcome) {
  deps_.metrics.IncrementCounter("catkinmoor_key_queries_total", {{"outcome", outcome}});
}

void key_proof_controller::LogTransition() {
  const boot_time_point now = BootNow();
  const bool is_fresh = deps_.key_proofs.IsFresh(now);
  if (is_fresh == was_fresh_) return;
  was_fresh_ = is_fresh;
  const std::int64_t age_ms = AgeForLog(deps_.key_proofs.Age(now));
  if (is_fresh) {
    logging::Info("keys confirmed; requests with keys are admitted", {{"proof_age_ms", age_ms}});
  } else {
    logging::Warning("keys unconfirmed; requests with keys are refused",
                     {{"proof_age_ms", age_ms}});
  }
}

}  // namespace catkinmoor
