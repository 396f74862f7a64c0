#include "rollout/rollout_verdict.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

/// Probability below which a difference is taken for real. Verdicts are repeated about ten times a
/// second on overlapping evidence, so it must be far below the accepted share of false verdicts.
constexpr double kBadProbability = 1e-4;
constexpr double kSuspiciousProbability = 0.02;
/// Difference of the shares of bad responses that a verdict needs at least. Bad versions fail about
/// half of their requests.
constexpr double kMinDifference = 0.15;
constexpr std::uint64_t kMinBad = 4;
/// Share of bad responses that any version may have.
constexpr double kUsualBadShare = 0.03;
/// Assumed when the other versions have no figures.
constexpr double kUnknownBadShare = 0.1;
/// Buckets between the median and a slow response: a factor of four. Bad versions are about eight
/// times slower.
constexpr std::size_t kSlowBuckets = 4;
/// Responses below this are never slow; such times vary several times with the load of the vms.
constexpr milliseconds kMinSlow{16};
constexpr std::uint64_t kMinTimes = 5;
/// Responses of the other versions that a comparison needs.
constexpr std::uint64_t kMinOthers = 20;
/// Standard deviations of the upper bound on the others' share of bad responses.
constexpr double kDeviations = 2;

/// Upper end of the Wilson interval of a share.
double UpperShare(const bad_share& share) {
  if (share.requests == 0) return kUnknownBadShare;
  const auto n = static_cast<double>(share.requests);
  const double z2 = kDeviations * kDeviations;
  const double p = share.Ratio();
  const double centre = p + z2 / (2 * n);
  const double width = kDeviations * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
  return std::clamp((centre + width) / (1 + z2 / n), kUsualBadShare, 0.95);
}

/// The first bucket of slow responses, or kTimeBuckets if the usual time is not known.
std::size_t FirstSlowBucket(const version_figures& reference) {
  std::uint64_t total = 0;
  for (const std::uint64_t each : reference.times) total += each;
  if (total < kMinTimes) return kTimeBuckets;
  std::uint64_t seen = 0;
  std::size_t median = 0;
  while (seen * 2 < total) seen += reference.times[median++];
  return std::max(median - 1 + kSlowBuckets, TimeBucket(kMinSlow));
}

bad_share CountBad(const version_figures& figures, std::size_t first_slow) {
  bad_share share{figures.failures, figures.requests};
  for (std::size_t i = first_slow; i < kTimeBuckets; ++i) share.bad += figures.times[i];
  return share;
}

void Decide(route_verdict& verdict) {
  const double usual = UpperShare(verdict.others);
  const bad_share& ordered = verdict.ordered;
  if (ordered.bad == 0) return;
  verdict.probability = BinomialUpperTail(ordered.requests, usual, ordered.bad);
  const bool differs = ordered.Ratio() > verdict.others.Ratio() + kMinDifference;
  verdict.bad = differs && ordered.bad >= kMinBad && verdict.probability < kBadProbability;
  verdict.suspicious = differs && verdict.probability < kSuspiciousProbability;
}

}  // namespace

version_figures& operator+=(version_figures& to, const version_figures& added) {
  to.requests += added.requests;
  to.failures += added.failures;
  for (std::size_t i = 0; i < kTimeBuckets; ++i) to.times[i] += added.times[i];
  return to;
}

version_figures operator-(const version_figures& later, const version_figures& earlier) {
  version_figures difference{
      later.requests - earlier.requests, later.failures - earlier.failures, {}};
  for (std::size_t i = 0; i < kTimeBuckets; ++i) {
    difference.times[i] = later.times[i] - earlier.times[i];
  }
  return difference;
}

rollout_evidence operator-(const rollout_evidence& later, const rollout_evidence& earlier) {
  rollout_evidence difference = later;
  for (auto& [route, evidence] : difference) {
    const auto found = earlier.find(route);
    if (found == earlier.end()) continue;
    evidence = {evidence.ordered - found->second.ordered, evidence.others - found->second.others};
  }
  return difference;
}

double BinomialUpperTail(std::uint64_t trials, double probability, std::uint64_t successes) {
  if (successes == 0) return 1;
  const auto n = static_cast<double>(trials);
  double tail = 0;
  for (std::uint64_t k = successes; k <= trials; ++k) {
    const auto x = static_cast<double>(k);
    const double term = std::exp(std::lgamma(n + 1) - std::lgamma(x + 1) - std::lgamma(n - x + 1) +
                                 x * std::log(probability) + (n - x) * std::log1p(-probability));
    tail += term;
    // Beyond the mean the terms fall, so that small ones end the sum.
    if (x > n * probability && term < tail * 1e-9) break;
  }
  return std::min(1.0, tail);
}

route_verdict JudgeRoute(const route_evidence& evidence, const version_figures& reference) {
  const std::size_t first_slow = FirstSlowBucket(reference);
  const bool enough = evidence.others.requests >= kMinOthers;
  route_verdict verdict;
  verdict.ordered = CountBad(evidence.ordered, first_slow);
  verdict.others = CountBad(enough ? evidence.others : reference, first_slow);
  Decide(verdict);
  return verdict;
}

std::map<std::string, route_verdict> Judge(const rollout_evidence& evidence,
                                           const rollout_evidence& reference) {
  std::map<std::string, route_verdict> verdicts;
  route_verdict all;
  for (const auto& [route, each] : evidence) {
    const auto found = reference.find(route);
    const version_figures& usual = found == reference.end() ? each.others : found->second.others;
    const route_verdict verdict = JudgeRoute(each, usual);
    all.ordered.bad += verdict.ordered.bad;
    all.ordered.requests += verdict.ordered.requests;
    all.others.bad += verdict.others.bad;
    all.others.requests += verdict.others.requests;
    verdicts[route] = verdict;
  }
  Decide(all);
  verdicts[""] = all;
  return verdicts;
}

}  // namespace catkinmoor
