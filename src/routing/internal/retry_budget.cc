#include "routing/retry_budget.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// Share of the budget for retries that may run a request again.
constexpr double kRepeatShare = 0.5;

double Seconds(std::chrono::duration<double> duration) { return duration.count(); }

}  // namespace

std::int64_t retry_budget::SlotNumber(const retry_budget_settings& settings, time_point now) {
  // Rounded up, since the slots must not cover less than a window.
  const std::int64_t slot_ms =
      std::max<std::int64_t>(1, (settings.window.count() + kSlots - 1) / kSlots);
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() / slot_ms;
}

retry_budget::slot& retry_budget::CurrentSlot(window& counts, const retry_budget_settings& settings,
                                              time_point now) {
  if (counts.started_at == time_point{}) counts.started_at = now;
  const std::int64_t number = SlotNumber(settings, now);
  slot& current = counts.slots[static_cast<std::size_t>(number) % counts.slots.size()];
  if (current.number != number) current = {.number = number};
  return current;
}

retry_budget::totals retry_budget::Count(const window& counts, std::int64_t begin,
                                         std::int64_t current) {
  totals sum;
  double within = 0;
  double half_before = 0;
  // The windows begin at any point of their first slot. Retries are counted in all slots that such
  // a window may touch, first attempts only in slots that lie within it for certain.
  for (const slot& each : counts.slots) {
    if (each.number < 0 || each.number > current) continue;
    const std::int64_t offset = each.number - begin;
    if (offset >= 0) {
      sum.retries += each.retries;
      sum.repeats += each.repeats;
    }
    if (offset > 0) within += each.first_attempts;
    if (offset > -kSlots / 2 && offset < kSlots / 2) half_before += each.first_attempts;
  }
  sum.first_attempts = (within + half_before) / 2;
  return sum;
}

void retry_budget::OnFirstAttempt(const std::string& service, const retry_budget_settings& settings,
                                  time_point now) {
  windows_.WithShard(service, [&](auto& entries) {
    return ++CurrentSlot(entries[service], settings, now).first_attempts;
  });
}

bool retry_budget::TryTake(const std::string& service, const retry_budget_settings& settings,
                           retry_kind kind, time_point now) {
  return windows_.WithShard(service, [&](auto& entries) {
    window& counts = entries[service];
    slot& current = CurrentSlot(counts, settings, now);
    const double elapsed_s =
        std::min(Seconds(now - counts.started_at) + 1, Seconds(settings.window));
    const double burst = std::max(0.0, settings.fleet_burst) /
                         static_cast<double>(std::max<std::size_t>(1, daemons_));
    const bool is_repeat = kind == retry_kind::kMayHaveRun;
    for (std::int64_t begin = current.number - kSlots; begin <= current.number; ++begin) {
      const totals sum = Count(counts, begin, current.number);
      const double allowed =
          settings.ratio * sum.first_attempts + settings.min_per_second * elapsed_s + burst;
      if (sum.retries + 1 > allowed) return false;
      if (is_repeat && sum.repeats + 1 > std::max(1.0, kRepeatShare * allowed)) return false;
    }
    ++current.retries;
    if (is_repeat) ++current.repeats;
    return true;
  });
}

}  // namespace catkinmoor
