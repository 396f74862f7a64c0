#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// What is known of a request before it is sent. Requests with equal keys are expected to cost
/// alike.
struct cost_key {
  std::string route;
  /// Workspace of the caller; empty without one.
  std::string workspace;
  std::uint64_t body_bytes = 0;
};

/// Expected cost of a request: the time for which a target works on it at its usual pace. The
/// logarithm of the cost is taken to be normally distributed.
struct cost_estimate {
  double mean_ms = 0;
  double median_ms = 0;
  /// Standard deviation of the logarithm.
  double spread = 0;
  /// Weight of the samples behind the estimate; 0 if there are none.
  double samples = 0;
};

/// Learns the distribution of costs from responses: for each route, and for each combination of
/// route, workspace and size of the body that differs from its route. Recent responses count more,
/// so that a cost that changes is followed within some tens of responses. Thread-safe.
class request_cost_model {
 public:
  /// Records that a target worked on a request for `work`, while work took `pace` times as long on
  /// its machine as usual.
  void OnResponse(const cost_key& key, milliseconds work, double pace);

  cost_estimate Estimate(const cost_key& key) const;

 private:
  /// Buckets of costs in geometric steps from 1 ms to about an hour.
  static constexpr std::size_t kBuckets = 40;
  static constexpr double kBucketRatio = 1.45;
  /// Combinations kept in all; beyond it only routes learn. It bounds the memory to a few
  /// megabytes.
  static constexpr std::size_t kMaxCombinations = 4'096;

  struct histogram {
    std::array<float, kBuckets> weights{};
    float total = 0;
    float sum_ms = 0;

    void Add(double cost_ms);
    cost_estimate Summarise() const;
  };

  mutable sharded_map<std::string, histogram> histograms_;
  std::atomic<std::size_t> combinations_ = 0;
};

}  // namespace catkinmoor
