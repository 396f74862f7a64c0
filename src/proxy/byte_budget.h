#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "framework/base/clock.h"

namespace catkinmoor {

/// What the callers of a daemon may take up together; 0 for no limit.
struct budget_limits {
  std::int64_t bytes = 0;
  std::int64_t connections = 0;

  friend bool operator==(const budget_limits&, const budget_limits&) = default;
};

/// The limits for a process that may use an amount of memory and a number of descriptors.
budget_limits LimitsOfProcess(std::int64_t memory_mb, std::int64_t descriptors);

/// What a connection is doing, which decides whether it may be turned away.
enum class holder_phase {
  kIdle,          ///< Between two requests.
  kReading,       ///< Its request is being read and has not been sent anywhere.
  kServing,       ///< Its request has been read; the caller waits. Never turned away.
  kTransferring,  ///< A body is being streamed from or to it.
};

/// Whose connection it is.
enum class holder_kind {
  kCaller,
  kPeer,  ///< Another daemon; exempt from the limit of connections and never closed when idle.
};

/// Divides bytes and connections among the connections of a daemon, and decides who is turned away
/// when they run out: whoever has made least progress for what it holds. Not thread-safe; the time
/// is an argument.
class byte_budget {
 public:
  using holder_id = std::uint64_t;

  /// Charged for a connection without a request: its socket, coroutine and smallest buffer.
  static constexpr std::int64_t kIdleBytes = 6 << 10;
  /// Charged in addition for each request of a connection, at least: parser, header fields and
  /// coroutines.
  static constexpr std::int64_t kRequestBytes = 10 << 10;
  /// A holder of at most this much is small: it may use the reserve, so that requests with an
  /// ordinary head and little body are served while large bodies use up the rest.
  static constexpr std::int64_t kSmallHolderBytes = 32 << 10;
  /// Part of the bytes that only small holders may use.
  static constexpr std::int64_t kReserveDivisor = 4;
  /// Part of the bytes up to which requests are read ahead. They may wait for as long as the one
  /// before them is served, and are not turned away meanwhile.
  static constexpr std::int64_t kAheadDivisor = 2;
  /// A holder that receives this many bytes per second does not fall behind.
  static constexpr std::int64_t kExpectedRate = 32 << 10;
  /// A holder that has fallen behind by less is not turned away; a round trip between regions and
  /// a lost packet take less.
  static constexpr milliseconds kMinLag{250};
  /// Streamed bodies may have run, so they are turned away only after a longer standstill.
  static constexpr milliseconds kMinTransferLag{2'000};
  /// Time between two selections. It bounds their cost, since each one looks at all holders.
  static constexpr milliseconds kSelectionInterval{20};

  explicit byte_budget(budget_limits limits);

  /// Adds a connection. Its first bytes are charged even if none are left.
  holder_id Open(holder_kind kind, time_point now);
  void Close(holder_id id);

  void SetPhase(holder_id id, holder_phase phase, time_point now);
  /// Records bytes that a holder has transferred.
  void RecordProgress(holder_id id, std::int64_t bytes, time_point now);

  /// Sets how many bytes a holder has. Less is always granted. If more is refused, the holder keeps
  /// what it had, and the time until its next grant does not count as falling behind.
  bool TryHold(holder_id id, std::int64_t bytes, time_point now);

  /// As TryHold, for a request that is read before the responses to earlier ones. A refusal is no
  /// wait: the request is read in its turn.
  bool TryHoldAhead(holder_id id, std::int64_t bytes, time_point now);

  /// The holders to turn away so that a holder that was refused can have this many bytes. Those
  /// selected are not selected again, and what they hold counts as soon to be free.
  std::vector<holder_id> SelectForBytes(holder_id asking, std::int64_t bytes, time_point now);

  /// Whether another caller's connection may be accepted.
  bool MayAccept() const;
  /// The connections to close so that another one can be accepted: the oldest idle ones, then those
  /// with least progress.
  std::vector<holder_id> SelectForConnection(time_point now);

  /// Takes back a selection whose holder is no longer in a phase in which it may be turned away.
  void Deselect(holder_id id);

  std::int64_t UsedBytes() const { return used_; }
  std::int64_t Connections() const { return connections_; }
  const budget_limits& Limits() const { return limits_; }

 private:
  struct holder {
    holder_kind kind = holder_kind::kCaller;
    holder_phase phase = holder_phase::kIdle;
    std::int64_t bytes = 0;
    bool selected = false;
    /// The time up to which the holder has kept up with the expected rate.
    time_point kept_up_until;
    /// Since when the holder waits for bytes; the epoch if it does not.
    time_point waiting_since;
  };

  std::int64_t LimitFor(std::int64_t bytes) const;
  std::chrono::nanoseconds Lag(const holder& each, time_point now) const;
  bool MayTurnAway(const holder& each, time_point now) const;
  void EndWait(holder& waiting, time_point now);
  bool BeginSelection(time_point now);
  /// Selects those with least progress until they free this many bytes or are this many.
  std::vector<holder_id> Select(std::int64_t bytes, std::size_t max_count, holder_id except,
                                time_point now);

  budget_limits limits_;
  std::unordered_map<holder_id, holder> holders_;
  holder_id next_id_ = 1;
  std::int64_t used_ = 0;
  std::int64_t connections_ = 0;
  std::int64_t selected_bytes_ = 0;
  std::int64_t selected_connections_ = 0;
  time_point next_selection_;
};

}  // namespace catkinmoor
