#include "distribution/record_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "framework/logging/log.h"
#include "framework/base/clock.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxTransferBytes = 1U << 20U;
constexpr std::size_t kMaxTransferMembers = 2'000;
constexpr milliseconds kReconcileTimeout{3'000};
constexpr int kNeighboursToShareWith = 2;
/// Time for documents that are still being spread to arrive.
constexpr milliseconds kMissedDocumentsDelay{150};

bool HasRecords(const spread_request& message) {
  return !message.documents.empty() || !message.members.empty() || !message.crashes.empty() ||
         message.confirmation || !message.rollouts.empty();
}

/// Moves the next chunk of records out of a long transfer, to bound the size of a message.
transfer_request TakeChunk(transfer_request& remaining) {
  transfer_request chunk;
  chunk.sender = remaining.sender;
  chunk.sender_data_centre = remaining.sender_data_centre;
  std::size_t bytes = 0;
  while (!remaining.documents.empty() && bytes < kMaxTransferBytes) {
    bytes += remaining.documents.back().text.size();
    chunk.documents.push_back(std::move(remaining.documents.back()));
    remaining.documents.pop_back();
  }
  const auto move_up_to = [](auto& from, auto& to, std::size_t count) {
    for (; !from.empty() && to.size() < count;) {
      to.push_back(std::move(from.back()));
      from.pop_back();
    }
  };
  move_up_to(remaining.members, chunk.members, kMaxTransferMembers);
  move_up_to(remaining.wanted_members, chunk.wanted_members, kMaxTransferMembers);
  move_up_to(remaining.wanted_documents, chunk.wanted_documents,
             kMaxTransferBytes / kMaxDocumentBytes);
  return chunk;
}

bool IsEmpty(const transfer_request& message) {
  return message.documents.empty() && message.members.empty() && message.wanted_documents.empty() &&
         message.wanted_members.empty();
}

}  // namespace

record_exchange::record_exchange(asio::io_context& context, distribution_dependencies deps,
                                 peer_client& peers, spread_strategy& strategy,
                                 distribution_settings settings)
    : context_(context),
      deps_(deps),
      peers_(peers),
      strategy_(strategy),
      settings_(std::move(settings)) {}

asio::awaitable<bool> record_exchange::ReplicateSelf(milliseconds time) {
  const member_record self = deps_.self.Get();
  const time_point end = Now() + time;
  const auto neighbours =
      Successors(*deps_.members.View(), self.data_centre, self.vm, kNeighboursToShareWith);
  for (const member_ptr& each : neighbours) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(end - Now());
    if (remaining.count() <= 0) break;
    spread_request message = MakeSpread({spread_range::kRingSegment, each->vm});
    message.members.push_back(self);
    message.recipient = each->vm;
    const auto reply = co_await peers_.Spread(each->control, std::move(message),
                                              std::min(remaining, time / kNeighboursToShareWith));
    if (Ok(reply) && !Value(reply).misdirected) co_return true;
  }
  co_return false;
}

std::uint64_t record_exchange::DocumentHash() const {
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < document_board::kBuckets; ++i) {
    hash ^= deps_.documents.BucketHash(i);
  }
  return hash;
}

std::uint64_t record_exchange::MemberHash() const {
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < member_table::kBuckets; ++i) hash ^= deps_.members.BucketHash(i);
  return hash;
}

spread_request record_exchange::MakeSpread(const spread_scope& scope) const {
  const member_record self = deps_.self.Get();
  return {self.vm, self.data_centre, scope, {}, {}, {}};
}

void record_exchange::SpreadDocuments(std::vector<document_version> documents, spread_range range) {
  spread_request message = MakeSpread({range, ""});
  message.documents = std::move(documents);
  Forward(std::move(message));
}

void record_exchange::SpreadSourceRead(std::vector<document_version> documents, spread_range range,
                                       time_point read_at, bool is_current) {
  spread_request message = MakeSpread({range, ""});
  const bool has_documents = !documents.empty();
  message.documents = std::move(documents);
  if (is_current && strategy_.SpreadsConfirmations() &&
      (has_documents || deps_.freshness.ShouldConfirm(read_at))) {
    message.confirmation =
        source_confirmation{read_at, DocumentHash(), deps_.documents.LastChange(),
                            deps_.era == nullptr ? 0 : deps_.era->Current()};
    deps_.freshness.OnConfirmationSent(read_at);
  }
  Forward(std::move(message));
}

void record_exchange::ApplyConfirmation(const source_confirmation& confirmation,
                                        const std::string& sender) {
  if (deps_.era != nullptr) deps_.era->Observe(confirmation.store_era);
  const bool is_current = confirmation.document_hash == DocumentHash() ||
                          confirmation.last_change < deps_.documents.LastChange();
  if (is_current) {
    deps_.freshness.OnConfirmed(confirmation.confirmed_at);
  } else if (!fetching_missed_.exchange(true)) {
    asio::co_spawn(context_, FetchMissed(sender, confirmation.last_change), asio::detached);
  }
}

asio::awaitable<void> record_exchange::FetchMissed(std::string sender, std::uint64_t last_change) {
  asio::steady_timer timer(context_, kMissedDocumentsDelay);
  auto [cancelled] = co_await timer.async_wait(kAwait);
  const member_ptr member = deps_.members.Find(sender);
  if (!cancelled && member != nullptr && deps_.documents.LastChange() < last_change) {
    co_await Reconcile(*member);
  }
  fetching_missed_ = false;
}

void record_exchange::AnnounceMember(const member_record& record) {
  if (MergeMember(record)) QueueMember(record);
}

void record_exchange::AnnounceCrash(const crash_report& report) {
  if (!deps_.quarantine.Record(report, Now())) return;
  spread_request message = MakeSpread({spread_range::kFleet, ""});
  message.crashes.push_back(report);
  Forward(std::move(message));
}

void record_exchange::AnnounceRollout(const rollout_state& state, spread_range range) {
  if (rollouts_ == nullptr || !rollouts_->Record(state, SuspendAwareNow())) return;
  spread_request message = MakeSpread({range, ""});
  message.rollouts.push_back(state);
  Forward(std::move(message));
}

std::vector<rollout_state> record_exchange::MergeRollouts(
    const std::vector<rollout_state>& states) {
  std::vector<rollout_state> newer;
  if (rollouts_ == nullptr) return newer;
  for (const rollout_state& each : states) {
    if (rollouts_->Record(each, SuspendAwareNow())) newer.push_back(each);
  }
  return newer;
}

void record_exchange::AnnounceSelf() { AnnounceMember(deps_.self.Get()); }

bool record_exchange::MergeMember(const member_record& record) {
  const member_record self = deps_.self.Get();
  if (record.vm == self.vm && record.version != self.version) {
    if (on_stale_self_) on_stale_self_(record);
    if (deps_.self.Refute(record.version)) {
      logging::Info("refuted a record of this daemon announced by others",
                    {{"stated", StateName(record.version.state)}});
      asio::post(context_, [this] { AnnounceSelf(); });
    }
    return false;
  }
  if (deps_.members.Merge(record) != merge_outcome::kNewer) return false;
  if (on_member_) on_member_(record);
  return true;
}

record_exchange::record_batch record_exchange::Merge(const std::vector<document_version>& documents,
                                                     const std::vector<member_record>& members,
                                                     bool witnessed,
                                                     std::vector<std::string>* refused) {
  record_batch updates;
  for (const document_version& each : documents) {
    const offer_outcome outcome = deps_.documents.Offer(each, witnessed);
    if (outcome == offer_outcome::kNewer) {
      logging::Info("newer document version received and held",
                    {{"from", "peer"},
                     {"service", each.service},
                     {"version", static_cast<std::int64_t>(each.version)}});
      updates.documents.push_back(each);
    }
    if (outcome == offer_outcome::kRefused) {
      logging::Warning(
          "document version from a peer refused; not held",
          {{"service", each.service}, {"version", static_cast<std::int64_t>(each.version)}});
      if (refused != nullptr) refused->push_back(each.service);
    }
  }
  for (const member_record& each : members) {
    if (MergeMember(each)) updates.members.push_back(each);
  }
  return updates;
}

void record_exchange::QueueMember(const member_record& record) {
  const std::lock_guard<std::mutex> lock(queue_mutex_);
  queued_members_.push_back(record);
  if (queued_members_.size() > 1) return;
  auto timer = std::make_shared<asio::steady_timer>(context_, settings_.member_batch_window);
  timer->async_wait([this, timer](const boost::system::error_code&) { FlushMembers(); });
}

void record_exchange::FlushMembers() {
  spread_request message = MakeSpread({spread_range::kDataCentre, ""});
  {
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    message.members.swap(queued_members_);
  }
  const bool is_relay = IsFirstRelay(*deps_.members.View(), deps_.self.Get());
  if (is_relay) message.scope.range = spread_range::kFleet;
  Forward(std::move(message));
}

bool record_exchange::IsFirstRelay(const member_view& view, const member_record& self) const {
  const auto relays = Relays(view, self.data_centre, 1);
  return !relays.empty() && relays.front()->vm == self.vm;
}

void record_exchange::Forward(spread_request message) {
  if (!strategy_.SpreadsDocuments()) message.documents.clear();
  if (!HasRecords(message)) return;
  const member_record self = deps_.self.Get();
  const auto hops = strategy_.Plan(*deps_.members.View(), self, message.scope);
  message.sender = self.vm;
  message.sender_data_centre = self.data_centre;
  for (const spread_hop& hop : hops) {
    asio::co_spawn(context_, SendHop(hop, message), asio::detached);
  }
  const bool alone = Successors(*deps_.members.View(), self.data_centre, self.vm, 1).empty();
  if (alone) deps_.documents.PutAllInForce();
}

asio::awaitable<void> record_exchange::SendHop(spread_hop hop, spread_request message) {
  const std::string own_data_centre = message.sender_data_centre;
  for (const auto& candidate : hop.candidates) {
    message.scope = candidate.scope;
    message.recipient = candidate.member->vm;
    auto reply =
        co_await peers_.Spread(candidate.member->control, message, settings_.spread_timeout);
    if (!Ok(reply) || Value(reply).misdirected) {
      deps_.metrics.IncrementCounter("catkinmoor_spread_failures_total");
      continue;
    }
    if (candidate.member->data_centre != own_data_centre) co_return;
    const auto& refused = Value(reply).refused_services;
    for (const document_version& each : message.documents) {
      const bool accepted =
          std::find(refused.begin(), refused.end(), each.service) == refused.end();
      if (accepted) deps_.documents.MarkWitnessed(each.service, each.version);
    }
    co_return;
  }
}

asio::awaitable<spread_reply> record_exchange::OnSpread(spread_request message) {
  const member_record self = deps_.self.Get();
  spread_reply reply;
  if (!message.recipient.empty() && message.recipient != self.vm) {
    // The scope is relative to the recipient's place on the ring. From another place it would cover
    // most of the ring, so that messages would circulate and multiply.
    reply.misdirected = true;
    co_return reply;
  }
  const bool witnessed = message.sender_data_centre == self.data_centre;
  record_batch updates =
      Merge(message.documents, message.members, witnessed, &reply.refused_services);
  if (message.confirmation) ApplyConfirmation(*message.confirmation, message.sender);
  // Only the first relay of a data centre forwards its member records to other data centres.
  if (message.scope.range == spread_range::kRingSegment &&
      IsFirstRelay(*deps_.members.View(), self)) {
    spread_request to_world = MakeSpread({spread_range::kFleet, ""});
    for (const member_record& each : updates.members) {
      if (each.data_centre == self.data_centre) to_world.members.push_back(each);
    }
    Forward(std::move(to_world));
  }
  std::vector<crash_report> new_crashes;
  for (const crash_report& each : message.crashes) {
    if (deps_.quarantine.Record(each, Now())) new_crashes.push_back(each);
  }
  std::vector<rollout_state> newer_rollouts = MergeRollouts(message.rollouts);
  if (!strategy_.ForwardsHeld()) {
    message.crashes = std::move(new_crashes);
    message.rollouts = std::move(newer_rollouts);
    message.documents = std::move(updates.documents);
    message.members = std::move(updates.members);
  }
  Forward(std::move(message));
  co_return reply;
}

asio::awaitable<compare_reply> record_exchange::OnCompare(compare_request message) {
  compare_reply reply;
  for (std::uint32_t i = 0; i < message.document_buckets.size(); ++i) {
    if (i >= document_board::kBuckets) break;
    if (deps_.documents.BucketHash(i) == message.document_buckets[i]) continue;
    reply.document_buckets.push_back(i);
    for (const parsed_document_ptr& each : deps_.documents.HeldInBucket(i)) {
      reply.documents.push_back(SummaryOf(each->source));
    }
  }
  if (rollouts_ != nullptr) {
    for (const held_rollout& each : rollouts_->All()) reply.rollouts.push_back(each.state);
  }
  std::vector<bool> differs(member_table::kBuckets, false);
  for (std::uint32_t i = 0; i < message.member_buckets.size(); ++i) {
    if (i >= member_table::kBuckets) break;
    if (deps_.members.BucketHash(i) == message.member_buckets[i]) continue;
    reply.member_buckets.push_back(i);
    differs[i] = true;
  }
  if (!reply.member_buckets.empty()) {
    for (const auto& [vm, record] : deps_.members.View()->all) {
      if (differs[member_table::BucketOf(vm)]) reply.members.push_back({vm, record->version});
    }
  }
  co_return reply;
}

transfer_request record_exchange::ComputeDifference(const compare_reply& comparison) const {
  transfer_request difference;
  std::map<std::string, document_summary> peer_documents;
  for (const document_summary& each : comparison.documents) {
    peer_documents[each.service] = each;
    const auto held = deps_.documents.Held(each.service);
    if (held == nullptr || Supersedes(each, SummaryOf(held->source))) {
      difference.wanted_documents.push_back(each.service);
    }
  }
  for (const std::uint32_t bucket : comparison.document_buckets) {
    if (bucket >= document_board::kBuckets) continue;
    for (const parsed_document_ptr& each : deps_.documents.HeldInBucket(bucket)) {
      const auto found = peer_documents.find(each->source.service);
      const bool is_newer =
          found == peer_documents.end() || Supersedes(SummaryOf(each->source), found->second);
      if (is_newer) difference.documents.push_back(each->source);
    }
  }
  std::map<std::string, member_version> peer_members;
  const auto view = deps_.members.View();
  for (const member_summary& each : comparison.members) {
    peer_members[each.vm] = each.version;
    const auto held = view->all.find(each.vm);
    const bool is_newer = held == view->all.end() || held->second->version < each.version;
    if (is_newer) difference.wanted_members.push_back(each.vm);
  }
  std::vector<bool> differs(member_table::kBuckets, false);
  for (const std::uint32_t bucket : comparison.member_buckets) {
    if (bucket < member_table::kBuckets) differs[bucket] = true;
  }
  for (const auto& [vm, record] : view->all) {
    if (!differs[member_table::BucketOf(vm)]) continue;
    const auto found = peer_members.find(vm);
    const bool is_newer = found == peer_members.end() || found->second < record->version;
    if (is_newer) difference.members.push_back(*record);
  }
  return difference;
}

asio::awaitable<result<done>> record_exchange::Reconcile(member_record peer) {
  return ReconcileWith(peer.control, peer.data_centre);
}

asio::awaitable<result<done>> record_exchange::ReconcileWith(endpoint control,
                                                             std::string data_centre) {
  const member_record self = deps_.self.Get();
  compare_request request;
  request.sender = self.vm;
  for (std::size_t i = 0; i < document_board::kBuckets; ++i) {
    request.document_buckets.push_back(deps_.documents.BucketHash(i));
  }
  for (std::size_t i = 0; i < member_table::kBuckets; ++i) {
    request.member_buckets.push_back(deps_.members.BucketHash(i));
  }
  auto comparison = co_await peers_.Compare(control, std::move(request), kReconcileTimeout);
  if (!Ok(comparison)) co_return Failure(comparison);
  MergeRollouts(Value(comparison).rollouts);
  transfer_request remaining = ComputeDifference(Value(comparison));
  remaining.sender = self.vm;
  remaining.sender_data_centre = self.data_centre;
  const bool same_data_centre = data_centre == self.data_centre;
  record_batch updates;
  while (!IsEmpty(remaining)) {
    const transfer_request chunk = TakeChunk(remaining);
    auto reply = co_await peers_.Transfer(control, chunk, kReconcileTimeout);
    if (!Ok(reply)) co_return Failure(reply);
    const record_batch received =
        Merge(Value(reply).documents, Value(reply).members, same_data_centre, nullptr);
    updates.documents.insert(updates.documents.end(), received.documents.begin(),
                             received.documents.end());
    updates.members.insert(updates.members.end(), received.members.begin(), received.members.end());
    if (!same_data_centre) continue;
    for (const document_version& each : chunk.documents) {
      deps_.documents.MarkWitnessed(each.service, each.version);
    }
  }
  if (same_data_centre) {
    // The peer is also a witness for the documents of buckets that did not differ.
    for (const parsed_document_ptr& each : deps_.documents.Unwitnessed()) {
      const bool held_by_peer =
          std::none_of(Value(comparison).document_buckets.begin(),
                       Value(comparison).document_buckets.end(), [&](std::uint32_t bucket) {
                         return bucket == document_board::BucketOf(each->source.service);
                       });
      if (held_by_peer) deps_.documents.MarkWitnessed(each->source.service, each->source.version);
    }
  } else if (!updates.documents.empty() || !updates.members.empty()) {
    spread_request message = MakeSpread({spread_range::kRegion, ""});
    message.documents = std::move(updates.documents);
    message.members = std::move(updates.members);
    Forward(std::move(message));
  }
  co_return done{};
}

asio::awaitable<void> record_exchange::FindWitness() {
  if (deps_.documents.Unwitnessed().empty()) co_return;
  const member_record self = deps_.self.Get();
  const auto neighbours = Successors(*deps_.members.View(), self.data_centre, self.vm, 3);
  if (neighbours.empty()) deps_.documents.PutAllInForce();
  for (const member_ptr& each : neighbours) {
    const auto reconciled = co_await Reconcile(*each);
    if (Ok(reconciled)) co_return;
  }
}

transfer_reply record_exchange::CollectRecords(const std::vector<std::string>& documents,
                                               const std::vector<std::string>& members) const {
  transfer_reply reply;
  for (const std::string& service : documents) {
    const auto held = deps_.documents.Held(service);
    if (held != nullptr) reply.documents.push_back(held->source);
  }
  for (const std::string& vm : members) {
    const auto record = deps_.members.Find(vm);
    if (record != nullptr) reply.members.push_back(*record);
  }
  return reply;
}

asio::awaitable<transfer_reply> record_exchange::OnTransfer(transfer_request message) {
  const member_record self = deps_.self.Get();
  const bool same_data_centre = message.sender_data_centre == self.data_centre;
  // A sender that has restarted gets back the record it announced before, for its departed target.
  const member_ptr previous = deps_.members.Find(message.sender);
  record_batch updates = Merge(message.documents, message.members, same_data_centre, nullptr);
  if (!same_data_centre) {
    spread_request to_region = MakeSpread({spread_range::kRegion, ""});
    to_region.documents = std::move(updates.documents);
    to_region.members = std::move(updates.members);
    Forward(std::move(to_region));
  }
  transfer_reply reply = CollectRecords(message.wanted_documents, message.wanted_members);
  const bool superseded = previous != nullptr && previous != deps_.members.Find(message.sender);
  if (superseded && previous->departed) reply.members.push_back(*previous);
  co_return reply;
}

}  // namespace catkinmoor
