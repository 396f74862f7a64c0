#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// Load that a gate reported on an answer.
struct reported_load {
  std::uint32_t in_use = 0;
  std::uint32_t slots = 1;
  std::uint32_t queued = 0;
  /// Mean time that the target takes for a request of the answer's route; 0 when unknown.
  std::uint32_t service_ms = 0;

  friend bool operator==(const reported_load&, const reported_load&) = default;
};

/// What this daemon knows of one target's load.
struct target_load {
  std::uint32_t outstanding = 0;
  reported_load reported;
  time_point reported_at{};
  /// Mean time for requests of each class as last reported, in milliseconds; 0 when unknown.
  std::array<double, kRouteClasses> service_ms{};
  /// Share of answers that were failures, at a moment; it fades while no answers come.
  double failed_share = 0;
  time_point failed_share_at{};
  std::uint32_t failures_in_row = 0;
  time_point ejected_until{};
};

/// The share of a target's answers that were failures, as it stands now.
double FailedShare(const target_load& load, time_point now);

/// The blackboard entry for load, by vm. Answers write it and selection reads it.
class load_board {
 public:
  void OnSent(const std::string& vm);
  void OnEnded(const std::string& vm);
  void OnReport(const std::string& vm, route_class kind, const reported_load& load, time_point now);

  /// Notes that a vm could not be reached or broke off. Repeated failures keep it out of selection
  /// for a time that doubles up to a bound.
  void OnFailure(const std::string& vm, time_point now);
  void OnSuccess(const std::string& vm, time_point now);

  /// Notes that a target answered with a failure of its own.
  void OnFailedAnswer(const std::string& vm, time_point now);

  target_load Get(const std::string& vm) const;

 private:
  mutable sharded_map<std::string, target_load> loads_;
};

}  // namespace catkinmoor
