#include "distribution/document_board.h"

#include <algorithm>

#include "framework/base/clock.h"
#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

std::uint64_t VersionHash(const document_version& version) {
  return StableHash(version.service + "/" + std::to_string(version.version) + "/" + version.digest);
}

}  // namespace

std::size_t document_board::BucketOf(const std::string& service) {
  return StableHash(service, 1) % kBuckets;
}

std::optional<offer_outcome> document_board::OfferWithoutParsing(const document_version& offered,
                                                                 bool witnessed) {
  const parsed_document_ptr held = Held(offered.service);
  if (held == nullptr) return std::nullopt;
  const document_summary held_summary = SummaryOf(held->source);
  const document_summary offered_summary = SummaryOf(offered);
  if (Supersedes(offered_summary, held_summary)) return std::nullopt;
  if (Supersedes(held_summary, offered_summary)) return offer_outcome::kOlder;
  if (held->source.digest != offered.digest) return std::nullopt;
  if (witnessed) MarkWitnessed(offered.service, offered.version);
  return offer_outcome::kAlreadyHeld;
}

offer_outcome document_board::Offer(const document_version& offered, bool witnessed) {
  // Several peers send the same version; parsing it once is enough.
  if (const auto known = OfferWithoutParsing(offered, witnessed)) return *known;
  shard& service_shard = ShardOf(offered.service);
  if (Sha256Hex(offered.text) != offered.digest) {
    return Refuse(offered, "the text does not match its digest");
  }
  auto parsed = ReadAcceptedDocument(offered.text);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    return Refuse(offered, json::FormatProblems(*problems));
  }
  auto& content = std::get<document>(parsed);
  if (content.service != offered.service) {
    return Refuse(offered, "the text names service " + content.service);
  }
  host_index by_host = BuildHostIndex(content);
  key_index by_key = BuildKeyIndex(content);
  auto active = std::make_shared<const parsed_document>(
      parsed_document{offered, std::move(content), std::move(by_host), std::move(by_key)});
  {
    const std::unique_lock<std::shared_mutex> lock(service_shard.mutex);
    document_state& state = service_shard.entries[offered.service];
    const document_summary offered_summary = SummaryOf(offered);
    const bool is_newer =
        state.held == nullptr || Supersedes(offered_summary, SummaryOf(state.held->source));
    if (!is_newer && Supersedes(SummaryOf(state.held->source), offered_summary)) {
      return offer_outcome::kOlder;
    }
    if (is_newer) {
      if (state.held != nullptr) service_shard.hash ^= VersionHash(state.held->source);
      service_shard.hash ^= VersionHash(offered);
      service_shard.last_change = std::max(service_shard.last_change, offered.change);
      if (state.held == state.in_force) state.unwitnessed_since = Now();
      state.held = std::move(active);
      if (state.refusal && IsSettled(*state.refusal, offered.version)) state.refusal.reset();
      if (witnessed) PutInForce(state);
      return offer_outcome::kNewer;
    }
    if (state.held->source.digest == offered.digest) {
      if (witnessed) PutInForce(state);
      return offer_outcome::kAlreadyHeld;
    }
  }
  return Refuse(offered, "another text is held under this version");
}

void document_board::PutInForce(document_state& state) {
  if (state.in_force == state.held) return;
  const auto waited = std::chrono::duration_cast<milliseconds>(Now() - state.unwitnessed_since);
  state.in_force = state.held;
  state.in_force_since_ms = UnixMilliseconds();
  const document_version& source = state.held->source;
  logging::Info("document version in force",
                {{"service", source.service},
                 {"version", static_cast<std::int64_t>(source.version)},
                 {"waited_ms", static_cast<std::int64_t>(waited.count())}});
}

offer_outcome document_board::Refuse(const document_version& offered, std::string reason) {
  RecordRefusal({offered.service, offered.version, std::move(reason)});
  return offer_outcome::kRefused;
}

void document_board::RecordRefusal(refused_version refused) {
  shard& service_shard = ShardOf(refused.service);
  const std::unique_lock<std::shared_mutex> lock(service_shard.mutex);
  std::optional<refused_version>& recorded = service_shard.entries[refused.service].refusal;
  if (!recorded || IsSettled(*recorded, refused.version)) recorded = std::move(refused);
}

/// Whether a refusal no longer counts once a version is held, or a refusal of it is recorded.
bool document_board::IsSettled(const refused_version& refusal, std::uint64_t held_version) {
  return refusal.version <= held_version;
}

void document_board::MarkWitnessed(const std::string& service, std::uint64_t version) {
  shard& service_shard = ShardOf(service);
  const std::unique_lock<std::shared_mutex> lock(service_shard.mutex);
  const auto found = service_shard.entries.find(service);
  if (found == service_shard.entries.end() || found->second.held == nullptr) return;
  if (found->second.held->source.version == version) PutInForce(found->second);
}

void document_board::PutAllInForce() {
  for (shard& each : shards_) {
    const std::unique_lock<std::shared_mutex> lock(each.mutex);
    for (auto& [service, state] : each.entries) {
      if (state.held != nullptr) PutInForce(state);
    }
  }
}

void document_board::PutInForceUnwitnessedFor(milliseconds age, time_point now) {
  for (shard& each : shards_) {
    const std::unique_lock<std::shared_mutex> lock(each.mutex);
    for (auto& [service, state] : each.entries) {
      if (state.held != nullptr && now - state.unwitnessed_since >= age) PutInForce(state);
    }
  }
}

std::optional<time_point> document_board::NextUnwitnessedFor(milliseconds age) const {
  std::optional<time_point> next;
  for (const shard& each : shards_) {
    const std::shared_lock<std::shared_mutex> lock(each.mutex);
    for (const auto& [service, state] : each.entries) {
      if (state.held == nullptr || state.held == state.in_force) continue;
      const time_point due = state.unwitnessed_since + age;
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

std::vector<parsed_document_ptr> document_board::Unwitnessed() const {
  std::vector<parsed_document_ptr> unwitnessed;
  for (const shard& each : shards_) {
    const std::shared_lock<std::shared_mutex> lock(each.mutex);
    for (const auto& [service, state] : each.entries) {
      if (state.held != nullptr && state.held != state.in_force) unwitnessed.push_back(state.held);
    }
  }
  return unwitnessed;
}

parsed_document_ptr document_board::InForce(const std::string& service) const {
  const shard& service_shard = ShardOf(service);
  const std::shared_lock<std::shared_mutex> lock(service_shard.mutex);
  const auto found = service_shard.entries.find(service);
  return found == service_shard.entries.end() ? nullptr : found->second.in_force;
}

parsed_document_ptr document_board::Held(const std::string& service) const {
  const shard& service_shard = ShardOf(service);
  const std::shared_lock<std::shared_mutex> lock(service_shard.mutex);
  const auto found = service_shard.entries.find(service);
  return found == service_shard.entries.end() ? nullptr : found->second.held;
}

std::vector<parsed_document_ptr> document_board::HeldInBucket(std::size_t bucket) const {
  const shard& bucket_shard = shards_[bucket];
  const std::shared_lock<std::shared_mutex> lock(bucket_shard.mutex);
  std::vector<parsed_document_ptr> held;
  for (const auto& [service, state] : bucket_shard.entries) {
    if (state.held != nullptr) held.push_back(state.held);
  }
  return held;
}

std::vector<in_force_document> document_board::AllInForce() const {
  std::vector<in_force_document> entries;
  for (const shard& each : shards_) {
    const std::shared_lock<std::shared_mutex> lock(each.mutex);
    for (const auto& [service, state] : each.entries) {
      if (state.in_force == nullptr) continue;
      const document_version& source = state.in_force->source;
      entries.push_back({{source.service, source.version, source.digest}, state.in_force_since_ms});
    }
  }
  std::sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
    return left.document.service < right.document.service;
  });
  return entries;
}

std::vector<refused_version> document_board::Refusals() const {
  std::vector<refused_version> refusals;
  for (const shard& each : shards_) {
    const std::shared_lock<std::shared_mutex> lock(each.mutex);
    for (const auto& [service, state] : each.entries) {
      if (state.refusal) refusals.push_back(*state.refusal);
    }
  }
  return refusals;
}

std::string document_board::RefusalReason(const std::string& service) const {
  const shard& service_shard = ShardOf(service);
  const std::shared_lock<std::shared_mutex> lock(service_shard.mutex);
  const auto found = service_shard.entries.find(service);
  const bool is_recorded = found != service_shard.entries.end() && found->second.refusal;
  return is_recorded ? found->second.refusal->reason : std::string();
}

std::uint64_t document_board::BucketHash(std::size_t bucket) const {
  const std::shared_lock<std::shared_mutex> lock(shards_[bucket].mutex);
  return shards_[bucket].hash;
}

std::uint64_t document_board::LastChange() const {
  std::uint64_t last = 0;
  for (const shard& each : shards_) {
    const std::shared_lock<std::shared_mutex> lock(each.mutex);
    last = std::max(last, each.last_change);
  }
  return last;
}

}  // namespace catkinmoor
