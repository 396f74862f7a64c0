#include "routing/load_board.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

/// Weight of one answer in a target's share of failures.
constexpr double kAnswerWeight = 0.1;
/// Time in which a target that is avoided for its failures regains half of its standing.
constexpr std::chrono::duration<double> kFailureHalfLife{2.0};

constexpr milliseconds kFirstEjection{500};
constexpr milliseconds kLongestEjection{8'000};
constexpr std::uint32_t kDoublings = 4;

}  // namespace

void load_board::OnSent(const std::string& vm) {
  loads_.With(vm, [&](auto& entries) { return ++entries[vm].outstanding; });
}

void load_board::OnEnded(const std::string& vm) {
  loads_.With(vm, [&](auto& entries) {
    target_load& load = entries[vm];
    if (load.outstanding > 0) --load.outstanding;
    return 0;
  });
}

void load_board::OnReport(const std::string& vm, route_class kind, const reported_load& load,
                          time_point now) {
  loads_.With(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.reported = load;
    entry.reported_at = now;
    if (load.service_ms > 0) entry.service_ms[static_cast<std::size_t>(kind)] = load.service_ms;
    return 0;
  });
}

void load_board::OnFailure(const std::string& vm, time_point now) {
  loads_.With(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    const auto doublings = std::min(entry.failures_in_row, kDoublings);
    entry.ejected_until = now + std::min(kFirstEjection * (1U << doublings), kLongestEjection);
    ++entry.failures_in_row;
    return 0;
  });
}

double FailedShare(const target_load& load, time_point now) {
  const std::chrono::duration<double> age = now - load.failed_share_at;
  return load.failed_share * std::exp2(-age / kFailureHalfLife);
}

void load_board::OnFailedAnswer(const std::string& vm, time_point now) {
  loads_.With(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.failed_share = FailedShare(entry, now) * (1 - kAnswerWeight) + kAnswerWeight;
    entry.failed_share_at = now;
    return 0;
  });
}

void load_board::OnSuccess(const std::string& vm, time_point now) {
  loads_.With(vm, [&](auto& entries) {
    target_load& entry = entries[vm];
    entry.failed_share = FailedShare(entry, now) * (1 - kAnswerWeight);
    entry.failed_share_at = now;
    entry.failures_in_row = 0;
    entry.ejected_until = {};
    return 0;
  });
}

target_load load_board::Get(const std::string& vm) const {
  return loads_.With(vm, [&](auto& entries) {
    const auto found = entries.find(vm);
    return found == entries.end() ? target_load{} : found->second;
  });
}

}  // namespace catkinmoor
