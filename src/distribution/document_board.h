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

/// Result of offering a version.
enum class offer_outcome { kNewer, kAlreadyHeld, kOlder, kRefused };

/// A version that this daemon refused, and why. The version is 0 if the text does not tell it.
struct refused_version {
  std::string service;
  std::uint64_t version = 0;
  std::string reason;

  friend bool operator==(const refused_version&, const refused_version&) = default;
};

/// A document in force, with the wall-clock time since which it is in force on this daemon.
struct in_force_document {
  document_summary document;
  std::uint64_t in_force_since_ms = 0;

  friend bool operator==(const in_force_document&, const in_force_document&) = default;
};

/// Shared state: the newest document of each service. A version is held once its text has been
/// read. It is put in force once a witness, another daemon of the same data centre, is known
/// to hold it too: after a restart this daemon can then always learn from its peers which versions
/// it had in force. Versions never go back, whatever order they arrive in. Thread-safe.
class document_board {
 public:
  /// Holds a version if it is newer than the one held. A version is refused only if its text is not
  /// the accepted one or cannot be interpreted. A witnessed version is put in force at once.
  offer_outcome Offer(const document_version& offered, bool witnessed);

  /// Records a version that was refused before it could be offered.
  void RecordRefusal(refused_version refused);

  /// Puts the held version in force after a witness was found for it. Ignored unless `version` is
  /// the version held.
  void MarkWitnessed(const std::string& service, std::uint64_t version);

  /// Puts every held version in force, for a daemon that has no peer in its data centre.
  void PutAllInForce();

  /// Puts in force the held version of each service that has lacked a witness for at least `age`,
  /// counted from the oldest of the versions that came since the one in force. Versions that follow
  /// each other quickly cannot delay each other.
  void PutInForceUnwitnessedFor(milliseconds age, time_point now);

  /// When PutInForceUnwitnessedFor has to be called next, so that no version waits longer than
  /// `age`; nothing if none waits.
  std::optional<time_point> NextUnwitnessedFor(milliseconds age) const;

  /// Held versions that are not in force because no witness is known.
  std::vector<parsed_document_ptr> Unwitnessed() const;

  /// The document in force, or null.
  parsed_document_ptr InForce(const std::string& service) const;

  /// The newest validated version, in force or not, or null.
  parsed_document_ptr Held(const std::string& service) const;

  /// All held documents of one bucket.
  std::vector<parsed_document_ptr> HeldInBucket(std::size_t bucket) const;

  /// Every version in force.
  std::vector<in_force_document> AllInForce() const;

  /// The refusal of the newest refused version of each service, unless that version or a newer one
  /// has been held since.
  std::vector<refused_version> Refusals() const;

  /// Why the newest refused version of a service was refused; empty if none is recorded.
  std::string RefusalReason(const std::string& service) const;

  /// Order-independent hash over (service, version, digest) of the held documents in one bucket.
  std::uint64_t BucketHash(std::size_t bucket) const;

  /// The highest change number among held documents.
  std::uint64_t LastChange() const;

  static constexpr std::size_t kBuckets = 64;
  static std::size_t BucketOf(const std::string& service);

 private:
  struct document_state {
    parsed_document_ptr held;
    parsed_document_ptr in_force;
    /// Since when versions newer than the one in force are held.
    time_point unwitnessed_since{};
    std::uint64_t in_force_since_ms = 0;
    std::optional<refused_version> refusal;
  };
  struct shard {
    mutable std::shared_mutex mutex;
    std::map<std::string, document_state> entries;
    std::uint64_t hash = 0;
    std::uint64_t last_change = 0;
  };

  /// The result of an offer if the version held already decides it, without parsing the text.
  std::optional<offer_outcome> OfferWithoutParsing(const document_version& offered, bool witnessed);
  static void PutInForce(document_state& state);
  offer_outcome Refuse(const document_version& offered, std::string reason);
  static bool IsSettled(const refused_version& refusal, std::uint64_t held_version);
  shard& ShardOf(const std::string& service) { return shards_[BucketOf(service)]; }
  const shard& ShardOf(const std::string& service) const { return shards_[BucketOf(service)]; }

  shard shards_[kBuckets];
};

}  // namespace catkinmoor
