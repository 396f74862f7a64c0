#include "proxy/byte_budget.h"

#include <algorithm>

namespace catkinmoor {
namespace {

constexpr std::int64_t kBytesPerMegabyte = 1 << 20;
// Share of the memory that the budget may take up together with what the daemon uses without
// callers. The rest is for what the allocator cannot reuse, about a third of what is held.
constexpr double kMemoryShare = 0.6;
// A daemon without callers uses 20 MB.
constexpr std::int64_t kBaseBytes = 20 * kBytesPerMegabyte;
// Least part of the memory that the budget gets.
constexpr std::int64_t kMinMemoryDivisor = 8;
// Descriptors that the platform reserves for files.
constexpr std::int64_t kFileDescriptors = 200;
// A caller's request needs a connection to a gate, which may be this daemon's own, where the other
// end of it is open as well. Connections to the target are limited by its slots, those to other
// daemons and the store are few.
constexpr std::int64_t kDescriptorsPerCaller = 3;
constexpr std::int64_t kMinConnections = 16;
// At most this many connections are closed at a time, so that the load of a moment does not close
// connections that are in use.
constexpr std::size_t kMaxConnectionsSelected = 16;
// Each selection frees at least this part of the bytes, so that the next ones are granted at once.
constexpr std::int64_t kSelectedDivisor = 16;

}  // namespace

budget_limits LimitsOfProcess(std::int64_t memory_mb, std::int64_t descriptors) {
  budget_limits limits;
  if (memory_mb > 0) {
    const std::int64_t memory = memory_mb * kBytesPerMegabyte;
    const auto share = static_cast<std::int64_t>(kMemoryShare * static_cast<double>(memory));
    limits.bytes = std::max(memory / kMinMemoryDivisor, share - kBaseBytes);
  }
  if (descriptors > 0) {
    limits.connections =
        std::max(kMinConnections, (descriptors - kFileDescriptors) / kDescriptorsPerCaller);
  }
  return limits;
}

byte_budget::byte_budget(budget_limits limits) : limits_(limits) {}

byte_budget::holder_id byte_budget::Open(holder_kind kind, time_point now) {
  const holder_id id = next_id_++;
  holders_[id] = {kind, holder_phase::kIdle, kIdleBytes, false, now, {}};
  used_ += kIdleBytes;
  if (kind == holder_kind::kCaller) ++connections_;
  return id;
}

void byte_budget::Close(holder_id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  Deselect(id);
  used_ -= found->second.bytes;
  if (found->second.kind == holder_kind::kCaller) --connections_;
  holders_.erase(found);
}

void byte_budget::SetPhase(holder_id id, holder_phase phase, time_point now) {
  holder& changed = holders_.at(id);
  // A request has its time from its first byte, and an idle connection is as old as its last use.
  const bool begins = changed.phase == holder_phase::kIdle || phase == holder_phase::kIdle ||
                      phase == holder_phase::kTransferring ||
                      changed.phase == holder_phase::kServing;
  if (begins) changed.kept_up_until = now;
  changed.phase = phase;
}

void byte_budget::RecordProgress(holder_id id, std::int64_t bytes, time_point now) {
  holder& progressing = holders_.at(id);
  const std::chrono::nanoseconds earned(bytes * std::nano::den / kExpectedRate);
  progressing.kept_up_until = std::min(now, progressing.kept_up_until + earned);
}

bool byte_budget::TryHold(holder_id id, std::int64_t bytes, time_point now) {
  holder& asking = holders_.at(id);
  const std::int64_t more = bytes - asking.bytes;
  if (more > 0 && used_ + more > LimitFor(bytes)) {
    if (asking.waiting_since == time_point{}) asking.waiting_since = now;
    return false;
  }
  EndWait(asking, now);
  used_ += more;
  if (asking.selected) selected_bytes_ += more;
  asking.bytes = bytes;
  return true;
}

bool byte_budget::TryHoldAhead(holder_id id, std::int64_t bytes, time_point now) {
  const std::int64_t more = bytes - holders_.at(id).bytes;
  const bool bounded = limits_.bytes > 0 && more > 0;
  if (bounded && used_ + more > limits_.bytes / kAheadDivisor) return false;
  return TryHold(id, bytes, now);
}

std::vector<byte_budget::holder_id> byte_budget::SelectForBytes(holder_id asking,
                                                                std::int64_t bytes,
                                                                time_point now) {
  const std::int64_t limit = LimitFor(bytes);
  const std::int64_t missing = used_ + bytes - holders_.at(asking).bytes - limit - selected_bytes_;
  if (missing <= 0 || !BeginSelection(now)) return {};
  return Select(std::max(missing, limits_.bytes / kSelectedDivisor), holders_.size(), asking, now);
}

bool byte_budget::MayAccept() const {
  if (limits_.connections > 0 && connections_ >= limits_.connections) return false;
  return limits_.bytes == 0 || used_ + kIdleBytes <= limits_.bytes;
}

std::vector<byte_budget::holder_id> byte_budget::SelectForConnection(time_point now) {
  if (MayAccept() || selected_connections_ > 0 || !BeginSelection(now)) return {};
  std::vector<holder_id> idle;
  for (const auto& [id, each] : holders_) {
    const bool closable = each.kind == holder_kind::kCaller && !each.selected &&
                          each.phase == holder_phase::kIdle && MayTurnAway(each, now);
    if (closable) idle.push_back(id);
  }
  if (idle.empty()) return Select(INT64_MAX, kMaxConnectionsSelected, 0, now);
  const std::size_t count = std::min(idle.size(), kMaxConnectionsSelected);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
                    [this](holder_id left, holder_id right) {
                      return holders_.at(left).kept_up_until < holders_.at(right).kept_up_until;
                    });
  idle.resize(count);
  for (const holder_id id : idle) {
    holder& selected = holders_.at(id);
    selected.selected = true;
    selected_bytes_ += selected.bytes;
    ++selected_connections_;
  }
  return idle;
}

void byte_budget::Deselect(holder_id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end() || !found->second.selected) return;
  found->second.selected = false;
  selected_bytes_ -= found->second.bytes;
  if (found->second.kind == holder_kind::kCaller) --selected_connections_;
}

std::int64_t byte_budget::LimitFor(std::int64_t bytes) const {
  if (limits_.bytes == 0) return INT64_MAX;
  const bool small = bytes <= kSmallHolderBytes;
  return small ? limits_.bytes : limits_.bytes - limits_.bytes / kReserveDivisor;
}

std::chrono::nanoseconds byte_budget::Lag(const holder& each, time_point now) const {
  const time_point until = each.waiting_since == time_point{} ? now : each.waiting_since;
  return std::max(std::chrono::nanoseconds(0),
                  std::chrono::duration_cast<std::chrono::nanoseconds>(until - each.kept_up_until));
}

bool byte_budget::MayTurnAway(const holder& each, time_point now) const {
  switch (each.phase) {
    case holder_phase::kServing:
      return false;
    case holder_phase::kIdle:
      return each.kind == holder_kind::kCaller && Lag(each, now) >= kMinLag;
    case holder_phase::kReading:
      return Lag(each, now) >= kMinLag;
    case holder_phase::kTransferring:
      return Lag(each, now) >= kMinTransferLag;
  }
  return false;
}

void byte_budget::EndWait(holder& waiting, time_point now) {
  if (waiting.waiting_since == time_point{}) return;
  waiting.kept_up_until = std::min(now, waiting.kept_up_until + (now - waiting.waiting_since));
  waiting.waiting_since = {};
}

bool byte_budget::BeginSelection(time_point now) {
  if (now < next_selection_) return false;
  next_selection_ = now + kSelectionInterval;
  return true;
}

std::vector<byte_budget::holder_id> byte_budget::Select(std::int64_t bytes, std::size_t max_count,
                                                        holder_id except, time_point now) {
  struct candidate {
    holder_id id;
    bool transferring;
    double unproductive;
  };
  std::vector<candidate> candidates;
  for (const auto& [id, each] : holders_) {
    if (id == except || each.selected || !MayTurnAway(each, now)) continue;
    const double seconds = std::chrono::duration<double>(Lag(each, now)).count();
    candidates.push_back(
        {id, each.phase == holder_phase::kTransferring, static_cast<double>(each.bytes) * seconds});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& left, const candidate& right) {
              if (left.transferring != right.transferring) return right.transferring;
              return left.unproductive > right.unproductive;
            });
  std::vector<holder_id> selected;
  std::int64_t freed = 0;
  for (const candidate& each : candidates) {
    if (freed >= bytes || selected.size() >= max_count) break;
    holder& turned_away = holders_.at(each.id);
    turned_away.selected = true;
    freed += turned_away.bytes;
    selected_bytes_ += turned_away.bytes;
    if (turned_away.kind == holder_kind::kCaller) ++selected_connections_;
    selected.push_back(each.id);
  }
  return selected;
}

}  // namespace catkinmoor
