#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"
#include "membership/member.h"
#include "routing/request_cost.h"

namespace catkinmoor {

/// Load that a gate reported with a response.
struct reported_load {
  std::uint32_t in_use = 0;
  std::uint32_t slots = 1;
  std::uint32_t queued = 0;
  /// Mean service time of the target for the route of the response; 0 when unknown.
  std::uint32_t service_ms = 0;
  /// Time that work takes on the target's machine at the moment, in per cent of the usual; 0 when
  /// the target does not state it. The next two are reported only with it.
  std::uint32_t pace_percent = 0;
  /// Expected work left in all requests that run or wait, in milliseconds at the usual pace.
  std::uint32_t work_left_ms = 0;
  /// Time for which the target worked on the request of the response; 0 for a refusal.
  std::uint32_t work_ms = 0;

  friend bool operator==(const reported_load&, const reported_load&) = default;
};

/// The load of one target as known to this daemon.
struct target_load {
  std::uint32_t outstanding = 0;
  reported_load reported;
  time_point reported_at{};
  /// Requests sent since the report.
  std::uint32_t sent_since_report = 0;
  /// Work time of the target relative to the average of its service at the same pace and cost.
  double relative_work = 1;
  /// Mean service time by route class as last reported, in milliseconds; 0 when unknown.
  std::array<double, kRouteClassCount> service_ms{};
  /// Moving average of the share of failures among responses, as of failure_ratio_at. It decays
  /// with time.
  double failure_ratio = 0;
  time_point failure_ratio_at{};
  std::uint32_t consecutive_failures = 0;
  time_point ejected_until{};
  /// Identity of the target that stated in a response that it is leaving; 0 when none did.
  std::uint64_t leaving_target = 0;
};

/// Identifies one start of a target. Never 0.
std::uint64_t TargetIdentity(const target_announcement& target);

/// Whether a target stated in a response that it is leaving.
inline bool IsLeaving(const target_load& load, const target_announcement& target) {
  return load.leaving_target != 0 && load.leaving_target == TargetIdentity(target);
}

/// The failure ratio of a target, decayed to the given time.
double FailureRatio(const target_load& load, time_point now);

/// Load of all targets by vm, shared by the threads: responses update it and target selection reads
/// it.
class load_board {
 public:
  void OnRequestStarted(const std::string& vm);
  void OnRequestEnded(const std::string& vm);
  void OnLoadReport(const std::string& vm, route_class kind, const reported_load& load,
                    time_point now);

  /// Learns from a response that reports the target's pace: what requests of this key cost, and how
  /// the target compares with the others of its service.
  void OnWork(const std::string& vm, const cost_key& key, const reported_load& load);

  /// What requests are expected to cost.
  const request_cost_model& Costs() const { return costs_; }

  /// Records that a vm could not be reached or lost its connection, and ejects it from target
  /// selection. The time doubles with each consecutive failure up to a maximum.
  void OnConnectionFailure(const std::string& vm, time_point now);
  void OnSuccessResponse(const std::string& vm, time_point now);

  /// Records that a target itself responded with a failure.
  void OnFailureResponse(const std::string& vm, time_point now);

  /// Records the request rate limit that a response of an instance carried; nothing if none.
  void OnLimitReport(const std::string& vm, const std::string& instance,
                     std::optional<double> per_second);

  /// Records that a target stated in a response that it is leaving.
  void OnLeaving(const std::string& vm, const target_announcement& target);

  /// The request rate limit in the last response of the instance; nothing if it named none.
  std::optional<double> Limit(const std::string& vm, const std::string& instance) const;

  target_load Get(const std::string& vm) const;

 private:
  /// Limit that an instance names for the requests that it gets a second.
  struct named_limit {
    std::string instance;
    double per_second = 0;
  };

  mutable sharded_map<std::string, target_load> loads_;
  mutable sharded_map<std::string, named_limit> limits_;
  request_cost_model costs_;
};

}  // namespace catkinmoor
