#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "framework/metrics/registry.h"
#include "proxy/byte_budget.h"

namespace catkinmoor {

/// The byte budget of a daemon, shared by the connections of all its workers. Thread-safe.
class connection_budget {
 public:
  connection_budget(budget_limits limits, metrics::registry& metrics);
  connection_budget(const connection_budget&) = delete;
  connection_budget& operator=(const connection_budget&) = delete;

  /// Whether there are limits; without them no connection needs an account.
  bool Enabled() const { return enabled_; }

  /// Adds a connection. The callback is run on its executor when the connection is turned away.
  byte_budget::holder_id Open(holder_kind kind, boost::asio::any_io_executor executor,
                              std::function<void()> turn_away);
  void Close(byte_budget::holder_id id);
  void SetPhase(byte_budget::holder_id id, holder_phase phase);
  void RecordProgress(byte_budget::holder_id id, std::int64_t bytes);
  bool TryHold(byte_budget::holder_id id, std::int64_t bytes);
  bool TryHoldAhead(byte_budget::holder_id id, std::int64_t bytes);
  void Deselect(byte_budget::holder_id id);

  /// Turns connections away so that one that was refused can have this many bytes.
  void MakeRoom(byte_budget::holder_id asking, std::int64_t bytes);

  /// Whether a caller's connection may be accepted. If not, room is made for it, and the question
  /// is to be asked again after a moment.
  bool MayAccept();

  /// Counts a connection that was turned away, by the phase in which it was, and logs the count of
  /// each second in one line.
  void CountTurnedAway(holder_phase phase);

  /// Writes the gauges of what is used and of the limits.
  void WriteGauges() const;

 private:
  struct connection_entry {
    boost::asio::any_io_executor executor;
    std::function<void()> turn_away;
  };

  /// Requires the lock.
  void TurnAway(const std::vector<byte_budget::holder_id>& selected);

  const bool enabled_;
  metrics::registry& metrics_;
  mutable std::mutex mutex_;
  byte_budget budget_;
  std::unordered_map<byte_budget::holder_id, connection_entry> connections_;
  time_point next_log_;
  std::int64_t turned_away_since_log_ = 0;
};

}  // namespace catkinmoor
