#pragma once

#include <atomic>
#include <optional>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Decides until when requests with a key may be admitted. A key that the store no longer has must
/// not admit a request once a bound has passed since its removal, so the daemon must have proof
/// that its documents were the newest less than that bound ago. Only the answer to a query of this
/// daemon is a proof, and it counts from the moment at which the query was sent: a message that was
/// not asked for may have been delayed on its way.
///
/// Documents must be held before the proof that they are the newest is recorded, and ValidUntil
/// must be read before a key is looked up in them. Thread-safe and without locks, since it is read
/// for each request.
class key_freshness {
 public:
  /// A bound of 0 admits keys at any time.
  explicit key_freshness(milliseconds bound);

  bool IsBounded() const { return bound_.count() > 0; }

  /// Records that this daemon's documents were the newest of the source at `asked_at`, when it sent
  /// a read of the source that has been answered since.
  void OnOwnRead(boot_time_point asked_at);

  /// Records the answer of another daemon to a query sent at `asked_at`. The age is that of the
  /// other daemon's own proof when it answered.
  void OnPeerProof(boot_time_point asked_at, milliseconds age);

  /// Records that another daemon has read the source at `read_at` and goes on reading it, so that
  /// this daemon need not.
  void OnReaderHeard(boot_time_point read_at);

  /// When the documents held were last known to be the newest.
  std::optional<boot_time_point> ProvedAt() const;

  /// Age of the proof; the maximum if there is none.
  milliseconds Age(boot_time_point now) const;

  /// The moment from which keys admit no request, unless a newer proof arrives. It is somewhat
  /// earlier than the proof's age reaches the bound.
  boot_time_point ValidUntil() const;

  bool IsFresh(boot_time_point now) const { return now < ValidUntil(); }

  /// Whether a read of the source by this daemon itself has been answered recently.
  bool ReadsSource(boot_time_point now) const;

  /// When this daemon has to read the source itself because no other is heard to read it. `share`
  /// is a share of the bound; it differs between daemons so that they do not all read at once.
  boot_time_point OwnReadDue(double share) const;

  /// Time between two queries to other daemons, and the time within which one must be answered.
  milliseconds QueryInterval() const;
  milliseconds QueryTimeout() const;

  /// Whether an answer with this age is what a working reader gives, so that no other is asked.
  bool IsUsualAge(milliseconds age) const;

  /// Records when the next query will be sent, for RetryAfter.
  void OnQueryPlanned(boot_time_point moment);

  /// Time after which a request that is refused for lack of a proof is worth retrying.
  milliseconds RetryAfter(boot_time_point now) const;

 private:
  using moment = std::atomic<boot_clock::rep>;

  milliseconds bound_;
  moment proved_at_;
  moment own_read_at_;
  moment reader_heard_at_;
  moment next_query_at_;
};

}  // namespace catkinmoor
