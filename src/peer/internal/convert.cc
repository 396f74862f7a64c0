#include "peer/internal/convert.h"

#include <zstd.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>

namespace catkinmoor::peer_internal {
namespace {

constexpr int kCompressionLevel = 3;
/// Bounds the memory that the size stated in a damaged frame can claim. Larger than any text that
/// the client of the store reads.
constexpr std::size_t kMaxTextBytes = 64U << 20U;

std::string Compress(const std::string& text) {
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size =
      ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), kCompressionLevel);
  frame.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return frame;
}

/// Cache of the compressed frames of the most recently sent texts, since the same update is sent to
/// several peers.
class frame_cache {
 public:
  std::string FrameFor(const document_version& document) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = std::find_if(frames_.begin(), frames_.end(), [&](const auto& each) {
      return each.first == document.digest;
    });
    if (found != frames_.end()) return found->second;
    if (frames_.size() >= kMaxFrames) frames_.pop_front();
    frames_.emplace_back(document.digest, Compress(document.text));
    return frames_.back().second;
  }

 private:
  static constexpr std::size_t kMaxFrames = 4;

  std::mutex mutex_;
  std::deque<std::pair<std::string, std::string>> frames_;
};

std::string FrameFor(const document_version& document) {
  static frame_cache cache;
  return cache.FrameFor(document);
}

std::optional<std::string> Decompress(const std::string& frame) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  // zstd reports unknown and malformed sizes as the two largest values, so this comparison rejects
  // them too.
  if (size > kMaxTextBytes) return std::nullopt;
  std::string text(size, '\0');
  const std::size_t decompressed_size =
      ZSTD_decompress(text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(decompressed_size) != 0 || decompressed_size != size) return std::nullopt;
  return text;
}

std::string HexToBytes(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

std::string BytesToHex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char each : bytes) {
    const auto byte = static_cast<unsigned char>(each);
    hex += {kDigits[byte >> 4U], kDigits[byte & 0xFU]};
  }
  return hex;
}

/// Converts an enum value from a peer, clamped to the range that this release knows.
template <typename Enum>
Enum ClampEnum(std::uint32_t number, Enum last) {
  return static_cast<Enum>(std::min(number, static_cast<std::uint32_t>(last)));
}

template <typename Enum>
std::uint32_t EnumNumber(Enum value) {
  return static_cast<std::uint32_t>(value);
}

void ToWire(const endpoint& from, wire::Endpoint& to) {
  to.set_address(from.address);
  to.set_port(from.port);
}

endpoint FromWire(const wire::Endpoint& from) {
  return {from.address(), static_cast<std::uint16_t>(from.port())};
}

void ToWire(const member_version& from, wire::MemberVersion& to) {
  to.set_incarnation(from.incarnation);
  to.set_sequence(from.sequence);
  to.set_state(EnumNumber(from.state));
}

member_version FromWire(const wire::MemberVersion& from) {
  return {from.incarnation(), from.sequence(), ClampEnum(from.state(), member_state::kLeft)};
}

void ToWire(const document_version& from, wire::Document& to) {
  to.set_service(from.service);
  to.set_version(from.version);
  to.set_change(from.change);
  to.set_digest(HexToBytes(from.digest));
  to.set_text(FrameFor(from));
  to.set_era(from.era);
}

void ToWire(const target_announcement& from, wire::Target& to) {
  to.set_service(from.service);
  to.set_instance(from.instance);
  to.mutable_labels()->insert(from.labels.begin(), from.labels.end());
  to.set_state(EnumNumber(from.state));
  to.set_slots(from.slots);
  to.set_connections(from.connections);
  to.set_ready_at_ms(from.ready_at_ms);
  to.set_start_ms(from.start_ms);
}

target_announcement FromWire(const wire::Target& from) {
  return {from.service(),
          from.instance(),
          {from.labels().begin(), from.labels().end()},
          ClampEnum(from.state(), target_state::kLeaving),
          from.slots(),
          from.connections(),
          from.ready_at_ms(),
          from.start_ms()};
}

void ToWire(const member_record& from, wire::Member& to) {
  to.set_vm(from.vm);
  to.set_region(from.region);
  to.set_data_centre(from.data_centre);
  ToWire(from.gate, *to.mutable_gate());
  ToWire(from.control, *to.mutable_control());
  ToWire(from.version, *to.mutable_version());
  if (from.target) ToWire(*from.target, *to.mutable_target());
  to.set_build(from.build);
  if (!from.departed) return;
  to.set_departed_instance(from.departed->instance);
  to.set_departed_born_ms(from.departed->start_ms);
}

member_record FromWire(const wire::Member& from) {
  member_record to{from.vm(),
                   from.region(),
                   from.data_centre(),
                   FromWire(from.gate()),
                   FromWire(from.control()),
                   FromWire(from.version()),
                   std::nullopt};
  if (from.has_target()) to.target = FromWire(from.target());
  if (!from.departed_instance().empty()) {
    to.departed = departed_target{from.departed_instance(), from.departed_born_ms()};
  }
  to.build = from.build();
  return to;
}

void ToWire(const spread_scope& from, wire::Scope& to) {
  to.set_reach(EnumNumber(from.range));
  to.set_last(from.last_vm);
}

spread_scope FromWire(const wire::Scope& from) {
  return {ClampEnum(from.reach(), spread_range::kRingSegment), from.last()};
}

std::uint32_t AgeToWire(milliseconds age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX));
}

void ToWire(const source_confirmation& from, wire::SourceConfirmation& to) {
  to.set_age_ms(AgeToWire(std::chrono::ceil<milliseconds>(Now() - from.confirmed_at)));
  to.set_document_hash(from.document_hash);
  to.set_last_change(from.last_change);
  to.set_store_era(from.store_era);
}

source_confirmation FromWire(const wire::SourceConfirmation& from) {
  return {Now() - milliseconds(from.age_ms()), from.document_hash(), from.last_change(),
          from.store_era()};
}

template <typename WireList>
void DocumentsToWire(const std::vector<document_version>& from, WireList& to) {
  for (const auto& each : from) ToWire(each, *to.Add());
}

template <typename WireList>
void SummariesToWire(const std::vector<document_summary>& from, WireList& to) {
  for (const document_summary& each : from) {
    wire::DocumentSummary& summary = *to.Add();
    summary.set_service(each.service);
    summary.set_version(each.version);
    summary.set_digest(HexToBytes(each.digest));
    summary.set_era(each.era);
  }
}

template <typename WireList>
void SummariesFromWire(const WireList& from, std::vector<document_summary>& to) {
  for (const wire::DocumentSummary& each : from) {
    to.push_back({each.service(), each.version(), BytesToHex(each.digest()), each.era()});
  }
}

template <typename WireList>
void DocumentsFromWire(const WireList& from, std::vector<document_version>& to) {
  for (const wire::Document& each : from) {
    // Without its text a version is refused, and the sender learns that it is not held.
    auto text = Decompress(each.text());
    to.push_back({each.service(), each.version(), each.change(), BytesToHex(each.digest()),
                  text ? std::move(*text) : std::string(), each.era()});
  }
}

template <typename WireList>
void MembersToWire(const std::vector<member_record>& from, WireList& to) {
  for (const auto& each : from) ToWire(each, *to.Add());
}

template <typename WireList>
void MembersFromWire(const WireList& from, std::vector<member_record>& to) {
  for (const wire::Member& each : from) to.push_back(FromWire(each));
}

template <typename Item, typename WireList>
void CopyToWire(const std::vector<Item>& from, WireList& to) {
  to.Add(from.begin(), from.end());
}

template <typename Item, typename WireList>
void CopyFromWire(const WireList& from, std::vector<Item>& to) {
  to.assign(from.begin(), from.end());
}

void ToWire(const rollout_state& from, wire::RolloutState& to) {
  to.set_service(from.order.service);
  to.set_order(from.order.number);
  to.set_target(from.order.target);
  to.set_duration_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(from.order.duration.count(), 0, UINT32_MAX)));
  to.set_phase(EnumNumber(from.phase));
  to.set_share(from.share);
  to.set_target_fraction(from.target_fraction);
  to.set_conductor(from.conductor);
  to.set_epoch(from.epoch);
  to.set_sequence(from.sequence);
  CopyToWire(from.excluded, *to.mutable_excluded());
  to.set_reason(from.reason);
}

rollout_state FromWire(const wire::RolloutState& from) {
  rollout_state to{{from.service(), from.order(), from.target(), milliseconds(from.duration_ms())},
                   ClampEnum(from.phase(), rollout_phase::kRolledBack),
                   from.share(),
                   from.target_fraction(),
                   from.conductor(),
                   from.epoch(),
                   from.sequence(),
                   {},
                   from.reason()};
  CopyFromWire(from.excluded(), to.excluded);
  return to;
}

template <typename WireList>
void RolloutsToWire(const std::vector<rollout_state>& from, WireList& to) {
  for (const rollout_state& each : from) ToWire(each, *to.Add());
}

template <typename WireList>
void RolloutsFromWire(const WireList& from, std::vector<rollout_state>& to) {
  for (const wire::RolloutState& each : from) to.push_back(FromWire(each));
}

}  // namespace

void ToWire(const rollout_report& from, wire::RolloutReport& to) {
  to.set_sender(from.sender);
  to.set_incarnation(from.incarnation);
  to.set_number(from.number);
  to.set_service(from.service);
  to.set_order(from.order);
  to.set_seen_epoch(from.seen_epoch);
  to.set_seen_sequence(from.seen_sequence);
  to.set_other_in_flight(from.other_in_flight);
  to.set_requests(from.requests);
  to.set_exposed(from.exposed);
  to.set_grant_epoch(from.grant_epoch);
  to.set_returned(from.returned);
  for (const rollout_counts& each : from.counts) {
    wire::RolloutCounts& counts = *to.add_counts();
    counts.set_ordered(each.ordered);
    counts.set_route(each.route);
    counts.set_requests(each.figures.requests);
    counts.set_failures(each.figures.failures);
    counts.mutable_times()->Add(each.figures.times.begin(), each.figures.times.end());
  }
}

void FromWire(const wire::RolloutReport& from, rollout_report& to) {
  to = {from.sender(),
        from.incarnation(),
        from.number(),
        from.service(),
        from.order(),
        from.seen_epoch(),
        from.seen_sequence(),
        from.other_in_flight(),
        from.requests(),
        from.exposed(),
        from.grant_epoch(),
        from.returned(),
        {}};
  for (const wire::RolloutCounts& each : from.counts()) {
    rollout_counts counts{each.ordered(), each.route(), {each.requests(), each.failures(), {}}};
    const std::size_t buckets = std::min<std::size_t>(each.times_size(), kTimeBuckets);
    std::copy_n(each.times().begin(), buckets, counts.figures.times.begin());
    to.counts.push_back(std::move(counts));
  }
}

void ToWire(const rollout_report_reply& from, wire::RolloutReportReply& to) {
  if (from.state) ToWire(*from.state, *to.mutable_state());
  to.set_grant_epoch(from.grant_epoch);
  to.set_granted(from.granted);
}

void FromWire(const wire::RolloutReportReply& from, rollout_report_reply& to) {
  if (from.has_state()) to.state = FromWire(from.state());
  to.grant_epoch = from.grant_epoch();
  to.granted = from.granted();
}

void ToWire(const spread_request& from, wire::SpreadRequest& to) {
  to.set_sender(from.sender);
  to.set_sender_data_centre(from.sender_data_centre);
  to.set_recipient(from.recipient);
  ToWire(from.scope, *to.mutable_scope());
  DocumentsToWire(from.documents, *to.mutable_documents());
  MembersToWire(from.members, *to.mutable_members());
  for (const crash_report& each : from.crashes) {
    wire::CrashReport& report = *to.add_crashes();
    report.set_fingerprint(each.fingerprint);
    report.set_reporter(each.reporter);
    report.set_number(each.sequence);
    report.set_released(each.released);
  }
  if (from.confirmation) ToWire(*from.confirmation, *to.mutable_confirmation());
  RolloutsToWire(from.rollouts, *to.mutable_rollouts());
}

void FromWire(const wire::SpreadRequest& from, spread_request& to) {
  to.sender = from.sender();
  to.sender_data_centre = from.sender_data_centre();
  to.recipient = from.recipient();
  to.scope = FromWire(from.scope());
  DocumentsFromWire(from.documents(), to.documents);
  MembersFromWire(from.members(), to.members);
  for (const wire::CrashReport& each : from.crashes()) {
    to.crashes.push_back({each.fingerprint(), each.reporter(), each.number(), each.released()});
  }
  if (from.has_confirmation()) to.confirmation = FromWire(from.confirmation());
  RolloutsFromWire(from.rollouts(), to.rollouts);
}

void ToWire(const spread_reply& from, wire::SpreadReply& to) {
  CopyToWire(from.refused_services, *to.mutable_refused_services());
  to.set_misdirected(from.misdirected);
}

void FromWire(const wire::SpreadReply& from, spread_reply& to) {
  CopyFromWire(from.refused_services(), to.refused_services);
  to.misdirected = from.misdirected();
}

void ToWire(const probe_request& from, wire::ProbeRequest& to) {
  to.set_sender(from.sender);
  to.set_document_hash(from.document_hash);
  to.set_member_hash(from.member_hash);
  to.set_on_behalf_of(from.on_behalf_of);
  to.set_recipient(from.recipient);
}

void FromWire(const wire::ProbeRequest& from, probe_request& to) {
  to = {from.sender(), from.document_hash(), from.member_hash(), from.on_behalf_of(),
        from.recipient()};
}

void ToWire(const probe_reply& from, wire::ProbeReply& to) {
  to.set_reached(from.reached);
  to.set_document_hash(from.document_hash);
  to.set_member_hash(from.member_hash);
}

void FromWire(const wire::ProbeReply& from, probe_reply& to) {
  to = {from.reached(), from.document_hash(), from.member_hash()};
}

void ToWire(const compare_request& from, wire::CompareRequest& to) {
  to.set_sender(from.sender);
  CopyToWire(from.document_buckets, *to.mutable_document_buckets());
  CopyToWire(from.member_buckets, *to.mutable_member_buckets());
}

void FromWire(const wire::CompareRequest& from, compare_request& to) {
  to.sender = from.sender();
  CopyFromWire(from.document_buckets(), to.document_buckets);
  CopyFromWire(from.member_buckets(), to.member_buckets);
}

void ToWire(const compare_reply& from, wire::CompareReply& to) {
  CopyToWire(from.document_buckets, *to.mutable_document_buckets());
  CopyToWire(from.member_buckets, *to.mutable_member_buckets());
  SummariesToWire(from.documents, *to.mutable_documents());
  for (const member_summary& each : from.members) {
    wire::MemberSummary& summary = *to.add_members();
    summary.set_vm(each.vm);
    ToWire(each.version, *summary.mutable_version());
  }
  RolloutsToWire(from.rollouts, *to.mutable_rollouts());
}

void FromWire(const wire::CompareReply& from, compare_reply& to) {
  CopyFromWire(from.document_buckets(), to.document_buckets);
  CopyFromWire(from.member_buckets(), to.member_buckets);
  SummariesFromWire(from.documents(), to.documents);
  for (const wire::MemberSummary& each : from.members()) {
    to.members.push_back({each.vm(), FromWire(each.version())});
  }
  RolloutsFromWire(from.rollouts(), to.rollouts);
}

void ToWire(const transfer_request& from, wire::TransferRequest& to) {
  to.set_sender(from.sender);
  to.set_sender_data_centre(from.sender_data_centre);
  DocumentsToWire(from.documents, *to.mutable_documents());
  MembersToWire(from.members, *to.mutable_members());
  CopyToWire(from.wanted_documents, *to.mutable_wanted_documents());
  CopyToWire(from.wanted_members, *to.mutable_wanted_members());
}

void FromWire(const wire::TransferRequest& from, transfer_request& to) {
  to.sender = from.sender();
  to.sender_data_centre = from.sender_data_centre();
  DocumentsFromWire(from.documents(), to.documents);
  MembersFromWire(from.members(), to.members);
  CopyFromWire(from.wanted_documents(), to.wanted_documents);
  CopyFromWire(from.wanted_members(), to.wanted_members);
}

void ToWire(const transfer_reply& from, wire::TransferReply& to) {
  DocumentsToWire(from.documents, *to.mutable_documents());
  MembersToWire(from.members, *to.mutable_members());
}

void FromWire(const wire::TransferReply& from, transfer_reply& to) {
  DocumentsFromWire(from.documents(), to.documents);
  MembersFromWire(from.members(), to.members);
}

void ToWire(const gather_request& from, wire::GatherRequest& to) {
  to.set_sender(from.sender);
  ToWire(from.scope, *to.mutable_scope());
  to.set_service(from.service);
  to.set_version(from.version);
  to.set_budget_ms(static_cast<std::uint32_t>(from.budget.count()));
}

void FromWire(const wire::GatherRequest& from, gather_request& to) {
  to = {from.sender(), FromWire(from.scope()), from.service(), from.version(),
        milliseconds(from.budget_ms())};
}

void ToWire(const gather_reply& from, wire::GatherReply& to) {
  for (const data_centre_status& each : from.data_centres) {
    wire::DataCentreStatus& status = *to.add_data_centres();
    status.set_region(each.region);
    status.set_data_centre(each.data_centre);
    status.set_in_force(each.in_force);
    status.set_behind(each.behind);
    status.set_refused(each.refused);
    status.set_unheard(each.unresponsive);
    status.set_identities(each.identity_sum);
    for (const lagging_member& lagging : each.lagging_members) {
      wire::Laggard& lagging_entry = *status.add_laggards();
      lagging_entry.set_vm(lagging.vm);
      lagging_entry.set_reason(lagging.reason);
    }
  }
}

void FromWire(const wire::GatherReply& from, gather_reply& to) {
  for (const wire::DataCentreStatus& each : from.data_centres()) {
    data_centre_status status{each.region(),  each.data_centre(), each.in_force(),   each.behind(),
                              each.refused(), each.unheard(),     each.identities(), {}};
    for (const wire::Laggard& lagging : each.laggards()) {
      status.lagging_members.push_back({lagging.vm(), lagging.reason()});
    }
    to.data_centres.push_back(std::move(status));
  }
}

void ToWire(const fence_request& from, wire::FenceRequest& to) {
  to.set_sender(from.sender);
  to.set_request_id(from.request_id);
  to.set_incarnation(from.incarnation);
  to.set_spare_waiting(from.except_waiting);
}

void FromWire(const wire::FenceRequest& from, fence_request& to) {
  to = {from.sender(), from.request_id(), from.incarnation(), from.spare_waiting()};
}

void ToWire(const fence_reply& from, wire::FenceReply& to) { to.set_fate(EnumNumber(from.fate)); }

void FromWire(const wire::FenceReply& from, fence_reply& to) {
  to.fate = ClampEnum(from.fate(), request_fate::kResponded);
}

void ToWire(const confirm_request& from, wire::ConfirmRequest& to) {
  to.set_sender(from.sender);
  to.set_recipient(from.recipient);
  to.set_document_hash(from.document_hash);
}

void FromWire(const wire::ConfirmRequest& from, confirm_request& to) {
  to = {from.sender(), from.recipient(), from.document_hash()};
}

void ToWire(const confirm_reply& from, wire::ConfirmReply& to) {
  to.set_known(from.known);
  to.set_age_ms(AgeToWire(from.age));
  to.set_reads_source(from.reads_source);
  to.set_document_hash(from.document_hash);
  to.set_last_change(from.last_change);
  SummariesToWire(from.documents, *to.mutable_documents());
}

void FromWire(const wire::ConfirmReply& from, confirm_reply& to) {
  to = {from.known(),         milliseconds(from.age_ms()), from.reads_source(),
        from.document_hash(), from.last_change(),          {}};
  SummariesFromWire(from.documents(), to.documents);
}

void ToWire(const permit_ask& from, wire::PermitsRequest& to) {
  to.set_sender(from.sender);
  to.set_incarnation(from.incarnation);
  to.set_sequence(from.sequence);
  to.set_recipient(from.recipient);
  to.set_epoch(from.epoch);
  for (const workspace_ask& each : from.workspaces) {
    wire::WorkspaceAsk& ask = *to.add_workspaces();
    ask.set_workspace(each.workspace);
    ask.set_demand(static_cast<float>(each.demand));
    ask.set_wanted(each.wanted);
    for (const permit_settlement& settled : each.settlements) {
      wire::PermitSettlement& settlement = *ask.add_settlements();
      settlement.set_grant(settled.grant);
      settlement.set_used(settled.used);
      settlement.set_returned(settled.returned);
    }
  }
}

void FromWire(const wire::PermitsRequest& from, permit_ask& to) {
  to = {from.sender(), from.incarnation(), from.sequence(), from.recipient(), from.epoch(), {}};
  for (const wire::WorkspaceAsk& each : from.workspaces()) {
    workspace_ask ask{each.workspace(), std::max(0.0F, each.demand()), each.wanted(), {}};
    for (const wire::PermitSettlement& settled : each.settlements()) {
      ask.settlements.push_back({settled.grant(), settled.used(), settled.returned()});
    }
    to.workspaces.push_back(std::move(ask));
  }
}

void ToWire(const permit_reply& from, wire::PermitsReply& to) {
  to.set_verdict(EnumNumber(from.verdict));
  to.set_sequence(from.sequence);
  to.set_epoch(from.epoch);
  to.set_authority(from.authority);
  to.set_control(from.control);
  for (const workspace_grant& each : from.grants) {
    wire::WorkspaceGrant& grant = *to.add_grants();
    grant.set_workspace(each.workspace);
    grant.set_granted(each.granted);
    grant.set_ahead_ms(static_cast<std::uint32_t>(each.ahead.count()));
    grant.set_retry_after_ms(static_cast<std::uint32_t>(each.retry_after.count()));
    grant.set_over_limit(each.over_limit);
  }
}

void FromWire(const wire::PermitsReply& from, permit_reply& to) {
  to = {ClampEnum(from.verdict(), permit_verdict::kOutOfOrder),
        from.sequence(),
        from.epoch(),
        from.authority(),
        {},
        from.control()};
  for (const wire::WorkspaceGrant& each : from.grants()) {
    to.grants.push_back({each.workspace(), each.granted(), milliseconds(each.ahead_ms()),
                         milliseconds(each.retry_after_ms()), each.over_limit()});
  }
}

}  // namespace catkinmoor::peer_internal
