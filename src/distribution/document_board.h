#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

#include "document/document.h"

namespace catkinmoor {

/// What became of an offered version.
enum class offer_outcome { kNews, kHeld, kOlder, kRefused };

/// A version that this daemon would not take, and why.
struct refused_version {
  std::string service;
  std::uint64_t version = 0;
  std::string reason;

  friend bool operator==(const refused_version&, const refused_version&) = default;
};

/// A document in force, with the wall time at which it came in force here.
struct in_force_entry {
  document_summary document;
  std::uint64_t since_ms = 0;

  friend bool operator==(const in_force_entry&, const in_force_entry&) = default;
};

/// The blackboard entry for documents. A version is held once it has been checked whole, and put in
/// force once another daemon of the same data centre is known to hold it too, so that a restart can
/// always learn how far this daemon had come. Versions only rise, whatever order they arrive in.
class document_board {
 public:
  /// Checks a version whole and holds it if it is newer than the one held. A witnessed version is
  /// put in force at once.
  offer_outcome Offer(const document_version& offered, bool witnessed);

  /// Puts a held version in force after a witness was found for it. Older versions are ignored.
  void Witness(const std::string& service, std::uint64_t version);

  /// Puts every held version in force, for a daemon that has no peer in its data centre.
  void WitnessAll();

  /// Puts versions in force that have been held for a time without a witness.
  void WitnessOlderThan(milliseconds age, time_point now);

  /// Held versions that still lack a witness.
  std::vector<active_document_ptr> Unwitnessed() const;

  /// The document in force, or null.
  active_document_ptr InForce(const std::string& service) const;

  /// The newest checked version, in force or not, or null.
  active_document_ptr Held(const std::string& service) const;

  /// All held documents of one bucket.
  std::vector<active_document_ptr> HeldIn(std::size_t bucket) const;

  /// Every version in force.
  std::vector<in_force_entry> AllInForce() const;

  /// The latest refusal of each service that has not been overtaken by an accepted version.
  std::vector<refused_version> Refusals() const;

  /// Order-independent hash over (service, version, digest) of the held documents in one bucket.
  std::uint64_t BucketHash(std::size_t bucket) const;

  /// The greatest change number among held documents.
  std::uint64_t LastChange() const;

  static constexpr std::size_t kBuckets = 64;
  static std::size_t BucketOf(const std::string& service);

 private:
  struct entry {
    active_document_ptr held;
    active_document_ptr in_force;
    time_point held_since{};
    std::uint64_t in_force_since_ms = 0;
    std::optional<refused_version> refused;
  };
  struct shard {
    mutable std::shared_mutex mutex;
    std::map<std::string, entry> entries;
    std::uint64_t hash = 0;
    std::uint64_t last_change = 0;
  };

  /// What becomes of a version that the one held already decides, without reading its text.
  std::optional<offer_outcome> OfferKnown(const document_version& offered, bool witnessed);
  static void PutInForce(entry& slot);
  offer_outcome Refuse(const document_version& offered, std::string reason);
  shard& ShardOf(const std::string& service) { return shards_[BucketOf(service)]; }
  const shard& ShardOf(const std::string& service) const { return shards_[BucketOf(service)]; }

  shard shards_[kBuckets];
};

}  // namespace catkinmoor
