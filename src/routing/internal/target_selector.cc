#include "routing/target_selector.h"

#include <algorithm>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

constexpr milliseconds kMaxReportAge{2'000};
constexpr double kQueuedWeight = 2.0;
constexpr double kMinSlowStartShare = 0.05;
constexpr std::size_t kMaxSubsetSize = 16;

/// Round-trip times by distance: within a data centre, within a region, and between regions. They
/// are typical of the users' networks; only the differences between them affect the choice.
constexpr double kRoundTripMs[] = {0.4, 2.0, 24.0};
/// Cost of a failure to the caller, expressed as time: about that of another attempt.
constexpr double kFailureCostMs = 600;
constexpr int kInterRegionDistance = 2;
/// Links between regions are charged by volume: a target in another region is preferred only if its
/// response is expected this much sooner, and more for the long responses of downloads.
constexpr double kInterRegionPenaltyMs = 60;
constexpr double kInterRegionDownloadPenaltyMs = 200;
/// Service time assumed for a target that has not reported one yet.
constexpr double kDefaultServiceMs = 100;
/// Relative increase in the service time of a fully loaded target over that of an idle one.
constexpr double kFullLoadSlowdown = 0.3;
/// Slot utilisation above which a request may have to wait.
constexpr double kQueueingUtilisation = 0.9;
/// Relative random variation of expected response times.
constexpr double kResponseMsJitter = 0.08;

bool HasLabels(const label_map& present, const label_map& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& each) {
    const auto found = present.find(each.first);
    return found != present.end() && found->second == each.second;
  });
}

/// Distance of a member from the origin of the request: 0 in the same data centre, 1 in the same
/// region, 2 in another region.
int Distance(const member_record& member, const selection_context& context) {
  if (member.data_centre == context.data_centre) return 0;
  return member.region == context.region ? 1 : 2;
}

/// The share of a target's slots that may be used, which rises to 1 during slow start.
double SlowStartShare(const member_record& member, const document& content,
                      const selection_context& context) {
  const auto slow_start_ms = static_cast<double>(content.targets.slow_start.count());
  if (slow_start_ms <= 0 || context.wall_ms < member.target->ready_at_ms) return 1;
  const auto age_ms = static_cast<double>(context.wall_ms - member.target->ready_at_ms);
  return std::clamp(age_ms / slow_start_ms, kMinSlowStartShare, 1.0);
}

/// Requests per usable slot, with queued ones weighted higher; lower is better.
double LoadScore(const member_record& member, const document& content,
                 const selection_context& context, const load_board& loads) {
  const target_load load = loads.Get(member.vm);
  double weighted_requests = load.outstanding;
  if (context.now - load.reported_at < kMaxReportAge) {
    weighted_requests = std::max(weighted_requests, static_cast<double>(load.reported.in_use)) +
                        kQueuedWeight * load.reported.queued;
  }
  const double slots = std::max<double>(1, member.target->slots);
  return (weighted_requests + 1) / (slots * SlowStartShare(member, content, context));
}

/// The expected response time in milliseconds: the round trip, the service time of the target, the
/// wait for a slot, and penalties for recent failures and for links between regions.
double ExpectedResponseMs(const member_record& member, const document& content, route_class kind,
                          const selection_context& context, const load_board& loads) {
  const target_load load = loads.Get(member.vm);
  const bool fresh = context.now - load.reported_at < kMaxReportAge;
  double requests = load.outstanding;
  if (fresh) {
    requests = std::max(requests, static_cast<double>(load.reported.in_use + load.reported.queued));
  }
  const double reported_ms = load.service_ms[static_cast<std::size_t>(kind)];
  const double service_ms = reported_ms > 0 ? reported_ms : kDefaultServiceMs;
  const double slots =
      std::max<double>(1, member.target->slots) * SlowStartShare(member, content, context);
  const double utilisation = (requests + 1) / slots;
  const double slowdown =
      kFullLoadSlowdown * std::min(utilisation, 1.0) * std::min(utilisation, 1.0);
  const double queueing = std::max(0.0, utilisation - kQueueingUtilisation);
  const double penalty_ms =
      kind == route_class::kDownload ? kInterRegionDownloadPenaltyMs : kInterRegionPenaltyMs;
  const int distance = Distance(member, context);
  const double network_ms =
      kRoundTripMs[distance] + (distance == kInterRegionDistance ? penalty_ms : 0);
  const double failure_cost_ms = kFailureCostMs * FailureRatio(load, context.now);
  return network_ms + failure_cost_ms + service_ms * (1 + slowdown + queueing);
}

/// The member with the shortest expected response time. Random jitter keeps daemons that see the
/// same reports from all selecting the same target at once.
member_ptr FastestTarget(const std::vector<member_ptr>& candidates, const document& content,
                         route_class kind, const selection_context& context,
                         const load_board& loads, std::mt19937_64& random) {
  std::uniform_real_distribution<double> jitter(1 - kResponseMsJitter, 1 + kResponseMsJitter);
  member_ptr best;
  double best_ms = 0;
  for (const member_ptr& each : candidates) {
    const double expected_ms =
        ExpectedResponseMs(*each, content, kind, context, loads) * jitter(random);
    if (best != nullptr && expected_ms >= best_ms) continue;
    best = each;
    best_ms = expected_ms;
  }
  return best;
}

/// Selects a subset of the members by rendezvous hashing with the selecting daemon, so that each
/// daemon holds connections to a bounded, evenly distributed part of a large service.
std::vector<member_ptr> SelectSubset(std::vector<member_ptr> members,
                                     const std::string& selecting_vm) {
  if (members.size() <= kMaxSubsetSize) return members;
  const auto rank = [&](const member_ptr& each) {
    return StableHash(selecting_vm + "/" + each->vm, 5);
  };
  std::nth_element(members.begin(), members.begin() + kMaxSubsetSize, members.end(),
                   [&](const auto& left, const auto& right) { return rank(left) > rank(right); });
  members.resize(kMaxSubsetSize);
  return members;
}

}  // namespace

std::vector<member_ptr> EligibleTargets(const document& content, const route_split& split,
                                        const std::vector<member_ptr>& announced) {
  const std::string& service = split.service.empty() ? content.service : split.service;
  std::vector<member_ptr> eligible;
  for (const member_ptr& each : announced) {
    const auto& regions = content.targets.regions;
    const bool in_region =
        regions.empty() || std::find(regions.begin(), regions.end(), each->region) != regions.end();
    const bool usable = IsPresent(*each) && each->target &&
                        each->target->state == target_state::kReady &&
                        each->target->service == service;
    if (usable && in_region && HasLabels(each->target->labels, content.targets.labels) &&
        HasLabels(each->target->labels, split.labels)) {
      eligible.push_back(each);
    }
  }
  return eligible;
}

route_split PickSplit(const document& content, const route& chosen_route, std::mt19937_64& random) {
  if (chosen_route.splits.empty()) return {{}, 1, content.service};
  std::vector<double> weights;
  for (const route_split& each : chosen_route.splits) {
    weights.push_back(static_cast<double>(each.weight));
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  route_split drawn = chosen_route.splits[draw(random)];
  if (drawn.service.empty()) drawn.service = content.service;
  return drawn;
}

member_ptr PickTarget(const std::vector<member_ptr>& eligible, const document& content,
                      const route& chosen_route, const selection_context& context,
                      const load_board& loads, std::mt19937_64& random) {
  const locality target_locality = chosen_route.target_locality;
  std::vector<member_ptr> healthy;
  std::vector<member_ptr> avoided;
  for (const member_ptr& each : eligible) {
    if (context.tried_vms.contains(each->vm)) continue;
    if (target_locality == locality::kRegion && each->region != context.region) continue;
    const bool avoid = loads.Get(each->vm).ejected_until > context.now ||
                       each->version.state == member_state::kSuspect;
    (avoid ? avoided : healthy).push_back(each);
  }
  std::vector<member_ptr>& candidates = healthy.empty() ? avoided : healthy;
  if (candidates.empty()) return nullptr;
  if (target_locality == locality::kBalanced) {
    return FastestTarget(SelectSubset(std::move(candidates), context.vm), content,
                         chosen_route.traffic_class, context, loads, random);
  }
  if (target_locality != locality::kAny) {
    int nearest = Distance(*candidates.front(), context);
    for (const member_ptr& each : candidates) nearest = std::min(nearest, Distance(*each, context));
    std::erase_if(candidates,
                  [&](const member_ptr& each) { return Distance(*each, context) > nearest; });
  }
  candidates = SelectSubset(std::move(candidates), context.vm);
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  const member_ptr first = candidates[draw(random)];
  const member_ptr second = candidates[draw(random)];
  return LoadScore(*first, content, context, loads) <= LoadScore(*second, content, context, loads)
             ? first
             : second;
}

}  // namespace catkinmoor
