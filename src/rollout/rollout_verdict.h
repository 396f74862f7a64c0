#pragma once

#include <map>
#include <string>

#include "rollout/rollout_state.h"

namespace catkinmoor {

/// Responses of the ordered version and of the others on one route.
struct route_evidence {
  version_figures ordered;
  version_figures others;

  friend bool operator==(const route_evidence&, const route_evidence&) = default;
};

/// Evidence by route.
using rollout_evidence = std::map<std::string, route_evidence>;

/// Adds figures, or subtracts earlier totals from later ones.
version_figures& operator+=(version_figures& to, const version_figures& added);
version_figures operator-(const version_figures& later, const version_figures& earlier);
rollout_evidence operator-(const rollout_evidence& later, const rollout_evidence& earlier);

/// Probability of at least `successes` in `trials` independent trials.
double BinomialUpperTail(std::uint64_t trials, double probability, std::uint64_t successes);

/// Bad responses of one side: failures, and responses several times slower than the median of the
/// other versions on the route.
struct bad_share {
  std::uint64_t bad = 0;
  std::uint64_t requests = 0;

  double Ratio() const {
    return requests == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(requests);
  }
};

/// Comparison of the ordered version with the others, on one route or on all together.
struct route_verdict {
  bad_share ordered;
  bad_share others;
  /// Probability of as many bad responses if the version were no worse than the others.
  double probability = 1;
  /// Clearly worse: to be rolled back.
  bool bad = false;
  /// Worse, but with too little evidence: the version must not get more requests.
  bool suspicious = false;
};

/// Compares two sides of one route. `reference` are the figures of the other versions that give the
/// usual response time; they may cover a longer time than the evidence.
route_verdict JudgeRoute(const route_evidence& evidence, const version_figures& reference);

/// The verdict on each route, and under the empty name that on all routes together. Figures of the
/// other versions that are too few are replaced by the reference.
std::map<std::string, route_verdict> Judge(const rollout_evidence& evidence,
                                           const rollout_evidence& reference);

}  // namespace catkinmoor
