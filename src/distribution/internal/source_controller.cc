#include "distribution/source_controller.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <algorithm>

#include "distribution/key_proof_controller.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr milliseconds kMaxRetryDelay{8'000};
/// The first read as a reader returns at once, so that other daemons soon hear its confirmation.
constexpr milliseconds kFirstReadWait{1};
/// Shares of the bound on the revocation of keys after which a daemon reads the source to prove
/// that its keys are valid, if no reader is heard to. The standby candidates come first; the others
/// then ask them. All leave enough time for a read that is not answered.
constexpr double kStandbyReadShare = 0.42;
constexpr double kOwnReadShare = 0.56;
constexpr double kOwnReadJitterShare = 0.1;
/// Delays before a refused entry is read again: its bytes may have been damaged on their way.
constexpr milliseconds kMinRereadDelay{500};
constexpr milliseconds kMaxRereadDelay{8'000};
/// Longest delay between two failed reads of a daemon that needs a proof.
constexpr double kProofRetryShare = 0.3;

constexpr std::size_t kMaxLoggedReason = 500;

/// Name of an order among the entries of the source.
std::string OrderName(const rollout_order& order) { return "rollout/" + order.service; }

}  // namespace

source_controller::source_controller(asio::io_context& context, distribution_dependencies deps,
                                     document_source& source, record_exchange& exchange,
                                     spread_strategy& strategy, distribution_settings settings,
                                     std::uint64_t seed)
    : deps_(deps),
      source_(source),
      exchange_(exchange),
      strategy_(strategy),
      settings_(std::move(settings)),
      context_(context),
      random_(seed),
      timer_(context) {}

void source_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

source_controller::reading_role source_controller::CurrentRole() const {
  if (strategy_.ReadsSource(*deps_.members.View(), deps_.self.Get())) {
    return reading_role::kSelected;
  }
  const bool needs_substitute =
      (strategy_.SpreadsConfirmations() && deps_.freshness.IsStale(Now())) ||
      BootNow() >= ProofReadDue();
  return needs_substitute ? reading_role::kSubstitute : reading_role::kNone;
}

milliseconds source_controller::SubstituteRetryDelay() const {
  if (!deps_.key_proofs.IsBounded()) return settings_.max_source_age;
  const auto proof_delay =
      std::chrono::duration_cast<milliseconds>(kProofRetryShare * settings_.key_revocation_bound);
  const bool relies_on_readers = settings_.max_source_age.count() == 0;
  return relies_on_readers ? proof_delay : std::min(proof_delay, settings_.max_source_age);
}

boot_time_point source_controller::ProofReadDue() const {
  if (!deps_.key_proofs.IsBounded()) return boot_time_point::max();
  const member_record self = deps_.self.Get();
  const auto candidates = Readers(*deps_.members.View(), self.region, kProofCandidates);
  const bool is_standby = std::any_of(candidates.begin(), candidates.end(),
                                      [&](const member_ptr& each) { return each->vm == self.vm; });
  const double share = is_standby ? kStandbyReadShare : kOwnReadShare + proof_delay_share_;
  return deps_.key_proofs.OwnReadDue(share);
}

milliseconds source_controller::Jittered(milliseconds duration, int min_percent, int max_percent) {
  std::uniform_int_distribution<std::int64_t> percent(min_percent, max_percent);
  return duration * percent(random_) / 100;
}

asio::awaitable<void> source_controller::WaitForNextRead(reading_role role, milliseconds delay) {
  time_point next = Now() + Jittered(delay, 80, 120);
  if (role == reading_role::kNone && strategy_.SpreadsConfirmations()) {
    // The first daemon that reads confirms the source to the others before they begin.
    const time_point stale_at = deps_.freshness.StaleAt();
    if (stale_at < next) next = stale_at + Jittered(settings_.max_source_age, 0, 15);
  }
  const boot_time_point now = BootNow();
  const boot_time_point proof_due = ProofReadDue();
  if (role == reading_role::kNone && proof_due <= now) {
    next = Now();
  } else if (role == reading_role::kNone && proof_due != boot_time_point::max()) {
    next = std::min(next, Now() + std::chrono::ceil<milliseconds>(proof_due - now));
  }
  timer_.expires_at(next);
  co_await timer_.async_wait(kAwait);
}

asio::awaitable<void> source_controller::Run() {
  bool failing = false;
  auto previous_role = reading_role::kNone;
  milliseconds delay = settings_.source_poll_interval;
  while (!stopping_) {
    reading_role role = CurrentRole();
    const bool long_polls =
        source_.SupportsLongPolling() && role != reading_role::kNone && !failing;
    if (!long_polls) {
      co_await WaitForNextRead(role, delay);
      role = CurrentRole();
    }
    if (stopping_) co_return;
    const bool is_first_read = previous_role == reading_role::kNone;
    if (role != previous_role) {
      logging::Info(
          role == reading_role::kNone ? "other daemons read the source"
                                      : "this daemon reads the source",
          {{"position", Position()},
           {"substitute", role == reading_role::kSubstitute},
           {"confirmed_age_ms", static_cast<std::int64_t>(deps_.freshness.Age(Now()).count())}});
      previous_role = role;
    }
    delay = settings_.source_poll_interval;
    if (role == reading_role::kNone) {
      failing = false;
      proof_delay_share_ = std::uniform_real_distribution<>(0, kOwnReadJitterShare)(random_);
      continue;
    }
    const bool is_selected = role == reading_role::kSelected;
    const milliseconds wait =
        is_first_read ? kFirstReadWait : Jittered(settings_.source_long_poll_wait, 80, 100);
    const auto read =
        co_await ReadOnce(wait, is_selected ? spread_range::kRegion : spread_range::kDataCentre);
    if (Ok(read)) {
      if (failing) logging::Info("source readable again", {{"position", Position()}});
      failing = false;
      continue;
    }
    deps_.metrics.IncrementCounter("catkinmoor_source_failures_total");
    logging::Warning("source read failed; next read delayed", Failure(read));
    failing = true;
    // All daemons lack a confirmation while the source is down for everyone.
    delay = is_selected ? std::min(delay * 2, kMaxRetryDelay) : SubstituteRetryDelay();
  }
}

std::int64_t source_controller::Position() const { return static_cast<std::int64_t>(position_); }

asio::awaitable<result<std::uint64_t>> source_controller::CatchUp() {
  for (;;) {
    const auto read = co_await ReadOnce(milliseconds(0), spread_range::kRegion);
    if (!Ok(read)) co_return Failure(read);
    if (Value(read)) continue;
    if (HasRefusedDocuments()) {
      co_return error{error_kind::kRefused, "catch up", "source",
                      "the newest version of a document cannot be taken over"};
    }
    deps_.freshness.OnConfirmed(Now());
    // As above, so that a daemon that has just joined waits for the answers of readers.
    deps_.key_proofs.OnReaderHeard(BootNow());
    co_return position_.load();
  }
}

asio::awaitable<result<bool>> source_controller::ReadOnce(milliseconds wait, spread_range range) {
  deps_.metrics.IncrementCounter("catkinmoor_source_reads_total");
  wait = RewindIfDue() ? milliseconds(0) : WaitUntilReread(wait);
  const std::uint64_t previous = read_position_;
  const boot_time_point asked_at = BootNow();
  auto fetched = co_await source_.FetchUpdate(previous, wait);
  if (!Ok(fetched)) co_return Failure(fetched);
  source_update& update = Value(fetched);
  const time_point read_at = Now();
  std::vector<document_version> newer = OfferAll(std::move(update.documents));
  for (const rollout_order& each : update.orders) {
    ClearRefused(OrderName(each));
    if (on_order_) on_order_(each, range);
  }
  for (const unusable_entry& each : update.unusable) RecordUnusable(each);
  const bool is_current = !HasRefusedDocuments();
  exchange_.SpreadSourceRead(std::move(newer), range, read_at, is_current);
  // A long poll without a change proves the state only as of when it was sent. The documents are
  // held by now.
  if (is_current) deps_.key_proofs.OnOwnRead(asked_at);
  AdvancePosition(update);
  co_return update.restarted || read_position_ > previous;
}

std::vector<document_version> source_controller::OfferAll(std::vector<document_version> documents) {
  std::vector<document_version> updates;
  for (document_version& each : documents) {
    const offer_outcome outcome = deps_.documents.Offer(each, false);
    if (outcome == offer_outcome::kRefused) {
      SetRefused(each.service, true, deps_.documents.RefusalReason(each.service));
      continue;
    }
    ClearRefused(each.service);
    if (outcome != offer_outcome::kNewer) continue;
    logging::Info("newer document version received and held",
                  {{"from", "source"},
                   {"service", each.service},
                   {"version", static_cast<std::int64_t>(each.version)}});
    updates.push_back(std::move(each));
  }
  return updates;
}

bool source_controller::RewindIfDue() {
  if (refused_.empty() || Now() < reread_at_) return false;
  read_position_ = position_;
  reread_delay_ = std::min(reread_delay_ * 2, kMaxRereadDelay);
  reread_at_ = Now() + reread_delay_;
  return true;
}

milliseconds source_controller::WaitUntilReread(milliseconds wait) const {
  if (refused_.empty()) return wait;
  const auto left = std::chrono::ceil<milliseconds>(reread_at_ - Now());
  // At least 1 ms, as a wait of 0 reads all entries.
  return std::min(wait, std::max(left, milliseconds(1)));
}

void source_controller::RecordUnusable(const unusable_entry& entry) {
  if (entry.is_document) deps_.documents.RecordRefusal({entry.name, 0, entry.reason});
  SetRefused(entry.name, entry.is_document, entry.reason);
}

void source_controller::SetRefused(const std::string& name, bool is_document,
                                   const std::string& reason) {
  deps_.metrics.IncrementCounter("catkinmoor_source_refusals_total");
  logging::Warning(is_document
                       ? "accepted version refused; documents are out of date and not confirmed"
                       : "accepted row refused; it has no effect",
                   {{"name", name},
                    {"position", Position()},
                    {"reason", std::string_view(reason).substr(0, kMaxLoggedReason)}});
  if (refused_.empty()) {
    reread_delay_ = kMinRereadDelay;
    reread_at_ = Now() + reread_delay_;
  }
  refused_[name] = is_document;
}

void source_controller::ClearRefused(const std::string& name) {
  if (refused_.erase(name) == 0) return;
  logging::Info("refused entry of the source is settled by a usable one", {{"name", name}});
}

bool source_controller::HasRefusedDocuments() const {
  return std::any_of(refused_.begin(), refused_.end(),
                     [](const auto& each) { return each.second; });
}

void source_controller::AdvancePosition(const source_update& update) {
  if (update.restarted) {
    // Earlier positions are of another count.
    position_ = 0;
    read_position_ = update.position;
  } else {
    read_position_ = std::max(read_position_, update.position);
  }
  if (refused_.empty()) position_ = std::max(position_.load(), read_position_);
  deps_.metrics.SetGauge("catkinmoor_source_refused_entries", static_cast<double>(refused_.size()));
}

}  // namespace catkinmoor
