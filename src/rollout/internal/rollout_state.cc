#include "rollout/rollout_state.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

constexpr const char* kPhaseNames[] = {"ordered", "waiting", "canary",    "load",       "half",
                                       "full",    "closing", "succeeded", "rolled_back"};

}  // namespace

const char* PhaseName(rollout_phase phase) { return kPhaseNames[static_cast<int>(phase)]; }

std::optional<rollout_phase> ParsePhase(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(rollout_phase::kRolledBack); ++i) {
    if (name == kPhaseNames[i]) return static_cast<rollout_phase>(i);
  }
  return std::nullopt;
}

std::size_t TimeBucket(milliseconds duration) {
  if (duration.count() <= 1) return 0;
  const double bucket = std::ceil(2 * std::log2(static_cast<double>(duration.count())));
  return std::min(kTimeBuckets - 1, static_cast<std::size_t>(bucket));
}

}  // namespace catkinmoor
