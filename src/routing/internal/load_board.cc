#include "routing/load_board.h"

#include <algorithm>
#include <cmath>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

/// Weight of one response in the moving average of a target's failure ratio.
constexpr double kResponseWeight = 0.1;
/// Half-life of the failure ratio, so that a target avoided for its failures is used again.
constexpr std::chrono::duration<double> kFailureHalfLife{2.0};

constexpr milliseconds kMinEjection{500};
constexpr milliseconds kMaxEjection{8'000};
constexpr std::uint32_t kMaxEjectionDoublings = 4;
constexpr std::uint64_t kIdentityHashSeed = 6;

/// Weight of one response in the moving average of a target's relative work time, and its limits. A
/// single request of a heavy tail says little about its target.
constexpr double kRelativeWorkWeight = 0.05;
constexpr double kMinRelativeWork = 0.25;
constexpr double kMaxRelativeWork = 4;
constexpr double kPercent = 100;

}  // namespace

void load_board::OnRequestStarted(const std::string& vm) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& load = entries[vm];
    ++load.sent_since_report;
    return ++load.outstanding;
  });
}

void load_board::OnRequestEnded(const std::string& vm) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& load = entries[vm];
    if (load.outstanding > 0) --load.outstanding;
    return 0;
  });
}

void load_board::OnLoadReport(const std::string& vm, route_class kind, const reported_load& load,
                              time_point now) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.reported = load;
    entry.reported_at = now;
    entry.sent_since_report = 0;
    if (load.service_ms > 0) entry.service_ms[static_cast<std::size_t>(kind)] = load.service_ms;
    return 0;
  });
}

void load_board::OnConnectionFailure(const std::string& vm, time_point now) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    const auto doublings = std::min(entry.consecutive_failures, kMaxEjectionDoublings);
    entry.ejected_until = now + std::min(kMinEjection * (1U << doublings), kMaxEjection);
    ++entry.consecutive_failures;
    return 0;
  });
}

void load_board::OnWork(const std::string& vm, const cost_key& key, const reported_load& load) {
  if (load.pace_percent == 0 || load.work_ms == 0) return;
  const double pace = load.pace_percent / kPercent;
  const cost_estimate expected = costs_.Estimate(key);
  costs_.OnResponse(key, milliseconds(load.work_ms), pace);
  if (expected.samples == 0 || expected.mean_ms <= 0) return;
  const double ratio =
      std::clamp(load.work_ms / (pace * expected.mean_ms), kMinRelativeWork, kMaxRelativeWork);
  loads_.WithShard(vm, [&](auto& entries) {
    double& relative_work = entries[vm].relative_work;
    relative_work += kRelativeWorkWeight * (ratio - relative_work);
    return 0;
  });
}

double FailureRatio(const target_load& load, time_point now) {
  const std::chrono::duration<double> age = now - load.failure_ratio_at;
  return load.failure_ratio * std::exp2(-age / kFailureHalfLife);
}

void load_board::OnFailureResponse(const std::string& vm, time_point now) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.failure_ratio = FailureRatio(entry, now) * (1 - kResponseWeight) + kResponseWeight;
    entry.failure_ratio_at = now;
    return 0;
  });
}

void load_board::OnSuccessResponse(const std::string& vm, time_point now) {
  loads_.WithShard(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.failure_ratio = FailureRatio(entry, now) * (1 - kResponseWeight);
    entry.failure_ratio_at = now;
    entry.consecutive_failures = 0;
    entry.ejected_until = {};
    return 0;
  });
}

std::uint64_t TargetIdentity(const target_announcement& target) {
  const std::uint64_t hash =
      StableHash(target.instance + "/" + std::to_string(target.start_ms), kIdentityHashSeed);
  return std::max<std::uint64_t>(hash, 1);
}

void load_board::OnLeaving(const std::string& vm, const target_announcement& target) {
  loads_.WithShard(
      vm, [&](auto& entries) { return entries[vm].leaving_target = TargetIdentity(target); });
}

void load_board::OnLimitReport(const std::string& vm, const std::string& instance,
                               std::optional<double> per_second) {
  limits_.WithShard(vm, [&](auto& entries) {
    if (per_second) {
      entries[vm] = {instance, *per_second};
    } else {
      entries.erase(vm);
    }
    return 0;
  });
}

std::optional<double> load_board::Limit(const std::string& vm, const std::string& instance) const {
  return limits_.WithShard(vm, [&](auto& entries) -> std::optional<double> {
    const auto found = entries.find(vm);
    if (found == entries.end() || found->second.instance != instance) return std::nullopt;
    return found->second.per_second;
  });
}

target_load load_board::Get(const std::string& vm) const {
  return loads_.WithShard(vm, [&](auto& entries) {
    const auto found = entries.find(vm);
    return found == entries.end() ? target_load{} : found->second;
  });
}

}  // namespace catkinmoor
