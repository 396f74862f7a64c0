#include "routing/request_cost.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace catkinmoor {
namespace {

/// Weight that earlier samples keep at each new one; a cost that doubles at once is followed within
/// about 40 responses.
constexpr float kRetainedWeight = 0.95F;
/// Samples of a combination that count as much as the estimate of its route. One response of a rare
/// combination does not outweigh the many of its route.
constexpr double kRouteWeight = 4;
constexpr double kMinPace = 0.1;
/// The 90th percentile of a normal distribution, in standard deviations.
constexpr double kDeviationsOfP90 = 1.2816;
constexpr double kMinSpread = 0.2;
constexpr double kMaxSpread = 1.5;

std::string CombinationOf(const cost_key& key) {
  // Sizes within a factor of four are alike.
  const auto size_class = (std::bit_width(key.body_bytes) + 1) / 2;
  return key.route + '\n' + key.workspace + '\n' + std::to_string(size_class);
}

}  // namespace

void request_cost_model::histogram::Add(double cost_ms) {
  for (float& each : weights) each *= kRetainedWeight;
  total = total * kRetainedWeight + 1;
  sum_ms = sum_ms * kRetainedWeight + static_cast<float>(cost_ms);
  const double step = std::log(std::max(1.0, cost_ms)) / std::log(kBucketRatio);
  const auto bucket = std::min(static_cast<std::size_t>(std::lround(step)), kBuckets - 1);
  weights[bucket] += 1;
}

cost_estimate request_cost_model::histogram::Summarise() const {
  if (total <= 0) return {};
  const auto quantile = [&](double share) {
    double below = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      below += weights[i];
      if (below >= share * total) return std::pow(kBucketRatio, static_cast<double>(i));
    }
    return std::pow(kBucketRatio, static_cast<double>(kBuckets - 1));
  };
  const double median_ms = quantile(0.5);
  const double spread = std::log(quantile(0.9) / median_ms) / kDeviationsOfP90;
  return {sum_ms / total, median_ms, std::clamp(spread, kMinSpread, kMaxSpread), total};
}

void request_cost_model::OnResponse(const cost_key& key, milliseconds work, double pace) {
  const double cost_ms = static_cast<double>(work.count()) / std::max(pace, kMinPace);
  histograms_.WithShard(key.route, [&](auto& entries) {
    entries[key.route].Add(cost_ms);
    return 0;
  });
  const std::string combination = CombinationOf(key);
  histograms_.WithShard(combination, [&](auto& entries) {
    const auto found = entries.find(combination);
    if (found != entries.end()) {
      found->second.Add(cost_ms);
    } else if (combinations_ < kMaxCombinations) {
      ++combinations_;
      entries[combination].Add(cost_ms);
    }
    return 0;
  });
}

cost_estimate request_cost_model::Estimate(const cost_key& key) const {
  const auto summary_of = [&](const std::string& name) {
    return histograms_.WithShard(name, [&](auto& entries) {
      const auto found = entries.find(name);
      return found == entries.end() ? cost_estimate{} : found->second.Summarise();
    });
  };
  const cost_estimate route = summary_of(key.route);
  const cost_estimate combination = summary_of(CombinationOf(key));
  if (combination.samples == 0) return route;
  const double share = combination.samples / (combination.samples + kRouteWeight);
  const auto blend = [&](double own, double general) {
    return share * own + (1 - share) * general;
  };
  return {blend(combination.mean_ms, route.mean_ms), blend(combination.median_ms, route.median_ms),
          blend(combination.spread, route.spread), route.samples};
}

}  // namespace catkinmoor
