#include "proxy/connection_budget.h"

#include <boost/asio/post.hpp>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

// A crowd may cause hundreds of refusals a second, so they share a log line.
constexpr milliseconds kLogInterval{1'000};

const char* PhaseName(holder_phase phase) {
  switch (phase) {
    case holder_phase::kIdle:
      return "idle";
    case holder_phase::kReading:
      return "reading";
    case holder_phase::kServing:
      return "serving";
    case holder_phase::kTransferring:
      break;
  }
  return "transferring";
}

}  // namespace

connection_budget::connection_budget(budget_limits limits, metrics::registry& metrics)
    : enabled_(limits != budget_limits{}), metrics_(metrics), budget_(limits) {}

byte_budget::holder_id connection_budget::Open(holder_kind kind,
                                               boost::asio::any_io_executor executor,
                                               std::function<void()> turn_away) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto id = budget_.Open(kind, Now());
  connections_[id] = {std::move(executor), std::move(turn_away)};
  return id;
}

void connection_budget::Close(byte_budget::holder_id id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  budget_.Close(id);
  connections_.erase(id);
}

void connection_budget::SetPhase(byte_budget::holder_id id, holder_phase phase) {
  const std::lock_guard<std::mutex> lock(mutex_);
  budget_.SetPhase(id, phase, Now());
}

void connection_budget::RecordProgress(byte_budget::holder_id id, std::int64_t bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  budget_.RecordProgress(id, bytes, Now());
}

bool connection_budget::TryHold(byte_budget::holder_id id, std::int64_t bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return budget_.TryHold(id, bytes, Now());
}

bool connection_budget::TryHoldAhead(byte_budget::holder_id id, std::int64_t bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return budget_.TryHoldAhead(id, bytes, Now());
}

void connection_budget::Deselect(byte_budget::holder_id id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  budget_.Deselect(id);
}

void connection_budget::MakeRoom(byte_budget::holder_id asking, std::int64_t bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  TurnAway(budget_.SelectForBytes(asking, bytes, Now()));
}

bool connection_budget::MayAccept() {
  if (!enabled_) return true;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (budget_.MayAccept()) return true;
  TurnAway(budget_.SelectForConnection(Now()));
  return false;
}

void connection_budget::TurnAway(const std::vector<byte_budget::holder_id>& selected) {
  for (const auto id : selected) {
    const connection_entry& entry = connections_.at(id);
    boost::asio::post(entry.executor, entry.turn_away);
  }
}

void connection_budget::CountTurnedAway(holder_phase phase) {
  metrics_.IncrementCounter("catkinmoor_turned_away_total", {{"phase", PhaseName(phase)}});
  const std::lock_guard<std::mutex> lock(mutex_);
  ++turned_away_since_log_;
  const time_point now = Now();
  if (now < next_log_) return;
  next_log_ = now + kLogInterval;
  logging::Warning("connections turned away, byte budget or connection limit exhausted",
                   {{"count", turned_away_since_log_},
                    {"used_bytes", budget_.UsedBytes()},
                    {"limit_bytes", budget_.Limits().bytes},
                    {"connections", budget_.Connections()},
                    {"limit_connections", budget_.Limits().connections}});
  turned_away_since_log_ = 0;
}

void connection_budget::WriteGauges() const {
  if (!enabled_) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  metrics_.SetGauge("catkinmoor_budget_used_bytes", static_cast<double>(budget_.UsedBytes()));
  metrics_.SetGauge("catkinmoor_budget_limit_bytes", static_cast<double>(budget_.Limits().bytes));
  metrics_.SetGauge("catkinmoor_caller_connections", static_cast<double>(budget_.Connections()));
  metrics_.SetGauge("catkinmoor_caller_connections_limit",
                    static_cast<double>(budget_.Limits().connections));
}

}  // namespace catkinmoor
