#include "distribution/document_board.h"

#include <algorithm>

#include "framework/base/clock.h"
#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

std::uint64_t VersionHash(const document_version& of) {
  return StableHash(of.service + "/" + std::to_string(of.version) + "/" + of.digest);
}

}  // namespace

std::size_t document_board::BucketOf(const std::string& service) {
  return StableHash(service, 1) % kBuckets;
}

std::optional<offer_outcome> document_board::OfferKnown(const document_version& offered,
                                                        bool witnessed) {
  const active_document_ptr held = Held(offered.service);
  if (held == nullptr || held->source.version < offered.version) return std::nullopt;
  if (held->source.version > offered.version) return offer_outcome::kOlder;
  if (held->source.digest != offered.digest) return std::nullopt;
  if (witnessed) Witness(offered.service, offered.version);
  return offer_outcome::kHeld;
}

offer_outcome document_board::Offer(const document_version& offered, bool witnessed) {
  // Several peers tell the same news; only the first telling is worth a parse.
  if (const auto known = OfferKnown(offered, witnessed)) return *known;
  shard& owner = ShardOf(offered.service);
  if (Sha256Hex(offered.text) != offered.digest) {
    return Refuse(offered, "the text does not match its digest");
  }
  auto parsed = ParseDocument(offered.text);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    return Refuse(offered, json::Describe(*problems));
  }
  auto& content = std::get<document>(parsed);
  if (content.service != offered.service) {
    return Refuse(offered, "the text names service " + content.service);
  }
  host_index by_host = IndexHosts(content);
  auto active = std::make_shared<const active_document>(
      active_document{offered, std::move(content), std::move(by_host)});
  {
    const std::unique_lock<std::shared_mutex> lock(owner.mutex);
    entry& slot = owner.entries[offered.service];
    const bool same_version = slot.held != nullptr && slot.held->source.version == offered.version;
    if (slot.held != nullptr && offered.version < slot.held->source.version) {
      return offer_outcome::kOlder;
    }
    if (!same_version) {
      if (slot.held != nullptr) owner.hash ^= VersionHash(slot.held->source);
      owner.hash ^= VersionHash(offered);
      owner.last_change = std::max(owner.last_change, offered.change);
      slot.held = std::move(active);
      slot.held_since = Now();
      slot.refused.reset();
      if (witnessed) PutInForce(slot);
      return offer_outcome::kNews;
    }
    if (slot.held->source.digest == offered.digest) {
      if (witnessed) PutInForce(slot);
      return offer_outcome::kHeld;
    }
  }
  return Refuse(offered, "another text is held under this version");
}

void document_board::PutInForce(entry& slot) {
  if (slot.in_force == slot.held) return;
  slot.in_force = slot.held;
  slot.in_force_since_ms = WallMilliseconds();
}

offer_outcome document_board::Refuse(const document_version& offered, std::string reason) {
  shard& owner = ShardOf(offered.service);
  const std::unique_lock<std::shared_mutex> lock(owner.mutex);
  owner.entries[offered.service].refused =
      refused_version{offered.service, offered.version, std::move(reason)};
  return offer_outcome::kRefused;
}

void document_board::Witness(const std::string& service, std::uint64_t version) {
  shard& owner = ShardOf(service);
  const std::unique_lock<std::shared_mutex> lock(owner.mutex);
  const auto found = owner.entries.find(service);
  if (found == owner.entries.end() || found->second.held == nullptr) return;
  if (found->second.held->source.version == version) PutInForce(found->second);
}

void document_board::WitnessAll() {
  for (shard& owner : shards_) {
    const std::unique_lock<std::shared_mutex> lock(owner.mutex);
    for (auto& [service, slot] : owner.entries) {
      if (slot.held != nullptr) PutInForce(slot);
    }
  }
}

void document_board::WitnessOlderThan(milliseconds age, time_point now) {
  for (shard& owner : shards_) {
    const std::unique_lock<std::shared_mutex> lock(owner.mutex);
    for (auto& [service, slot] : owner.entries) {
      if (slot.held != nullptr && now - slot.held_since >= age) PutInForce(slot);
    }
  }
}

std::vector<active_document_ptr> document_board::Unwitnessed() const {
  std::vector<active_document_ptr> waiting;
  for (const shard& owner : shards_) {
    const std::shared_lock<std::shared_mutex> lock(owner.mutex);
    for (const auto& [service, slot] : owner.entries) {
      if (slot.held != nullptr && slot.held != slot.in_force) waiting.push_back(slot.held);
    }
  }
  return waiting;
}

active_document_ptr document_board::InForce(const std::string& service) const {
  const shard& owner = ShardOf(service);
  const std::shared_lock<std::shared_mutex> lock(owner.mutex);
  const auto found = owner.entries.find(service);
  return found == owner.entries.end() ? nullptr : found->second.in_force;
}

active_document_ptr document_board::Held(const std::string& service) const {
  const shard& owner = ShardOf(service);
  const std::shared_lock<std::shared_mutex> lock(owner.mutex);
  const auto found = owner.entries.find(service);
  return found == owner.entries.end() ? nullptr : found->second.held;
}

std::vector<active_document_ptr> document_board::HeldIn(std::size_t bucket) const {
  const shard& owner = shards_[bucket];
  const std::shared_lock<std::shared_mutex> lock(owner.mutex);
  std::vector<active_document_ptr> held;
  for (const auto& [service, slot] : owner.entries) {
    if (slot.held != nullptr) held.push_back(slot.held);
  }
  return held;
}

std::vector<in_force_entry> document_board::AllInForce() const {
  std::vector<in_force_entry> entries;
  for (const shard& owner : shards_) {
    const std::shared_lock<std::shared_mutex> lock(owner.mutex);
    for (const auto& [service, slot] : owner.entries) {
      if (slot.in_force == nullptr) continue;
      const document_version& source = slot.in_force->source;
      entries.push_back({{source.service, source.version, source.digest}, slot.in_force_since_ms});
    }
  }
  std::sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
    return left.document.service < right.document.service;
  });
  return entries;
}

std::vector<refused_version> document_board::Refusals() const {
  std::vector<refused_version> refusals;
  for (const shard& owner : shards_) {
    const std::shared_lock<std::shared_mutex> lock(owner.mutex);
    for (const auto& [service, slot] : owner.entries) {
      if (slot.refused) refusals.push_back(*slot.refused);
    }
  }
  return refusals;
}

std::uint64_t document_board::BucketHash(std::size_t bucket) const {
  const std::shared_lock<std::shared_mutex> lock(shards_[bucket].mutex);
  return shards_[bucket].hash;
}

std::uint64_t document_board::LastChange() const {
  std::uint64_t last = 0;
  for (const shard& owner : shards_) {
    const std::shared_lock<std::shared_mutex> lock(owner.mutex);
    last = std::max(last, owner.last_change);
  }
  return last;
}

}  // namespace catkinmoor
