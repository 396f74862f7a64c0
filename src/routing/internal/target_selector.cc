#include "routing/target_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

constexpr milliseconds kMaxReportAge{2'000};
/// Half-life of a reported load, so that an old one counts less and less.
constexpr std::chrono::duration<double> kReportHalfLife{1.0};
constexpr double kQueuedWeight = 2.0;
constexpr double kMinSlowStartShare = 0.05;

enum distance { kSameDataCentre, kSameRegion, kOtherRegion, kDistances };

constexpr std::size_t kMaxSubsetSize = 16;
/// Size of the balanced subset up to and including each distance, so that it holds targets for
/// overflow however many there are nearby.
constexpr std::size_t kSubsetSizeUpTo[kDistances] = {8, 12, kMaxSubsetSize};

/// Round-trip times by distance. They are typical of the users' networks; only the differences
/// between them affect the choice.
constexpr double kRoundTripMs[kDistances] = {0.4, 2.0, 24.0};

/// Costs below are shares of the value that a response in time has for the caller.
constexpr double kLateCost = 0.7;
constexpr double kFailureCost = 1.0;
/// Cost of an expected response time as long as the objective, beyond the risk of being late. It
/// makes the faster of two targets preferable when neither is likely to be late.
constexpr double kDurationCost = 0.1;
/// Links between data centres and regions are charged by volume, so the cost of a transfer depends
/// on the usual length of a class's messages.
constexpr double kTransferCost[kRouteClassCount][kDistances] = {
    {0, 0.04, 0.13},  // booking
    {0, 0.05, 0.15},  // internal
    {0, 0.06, 0.2},   // browse
    {0, 0.25, 0.5},   // download
};
/// Value of a response, as time, on routes without an objective.
constexpr double kValueWithoutObjectiveMs = 600;
/// Standard deviation of the logarithm of response times.
constexpr double kResponseSpread = 0.65;
/// The wait for a slot and the network spread response times further than the cost does.
constexpr double kMinResponseSpread = 0.4;

/// Service time assumed for a target that has not reported one yet.
constexpr double kDefaultServiceMs = 100;
/// Relative increase in the service time of a fully loaded target over that of an idle one.
constexpr double kFullLoadSlowdown = 0.3;
/// Slot utilisation above which a request may have to wait.
constexpr double kQueueingUtilisation = 0.9;
/// Relative random variation of expected response times.
constexpr double kResponseMsJitter = 0.08;

/// Half-life of a reported pace.
constexpr std::chrono::duration<double> kPaceHalfLife{0.5};
constexpr double kMinPace = 0.1;
/// Samples from which on a cost estimate is used.
constexpr double kMinCostSamples = 5;

bool HasLabels(const label_map& present, const label_map& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& each) {
    const auto found = present.find(each.first);
    return found != present.end() && found->second == each.second;
  });
}

distance DistanceOf(const member_record& member, const selection_context& context) {
  if (member.data_centre == context.data_centre) return kSameDataCentre;
  return member.region == context.region ? kSameRegion : kOtherRegion;
}

/// The share of a target's slots that may be used, which rises to 1 during slow start.
double SlowStartShare(const member_record& member, const document& content,
                      const selection_context& context) {
  const auto slow_start_ms = static_cast<double>(content.targets.slow_start.count());
  if (slow_start_ms <= 0 || context.wall_ms < member.target->ready_at_ms) return 1;
  const auto age_ms = static_cast<double>(context.wall_ms - member.target->ready_at_ms);
  return std::clamp(age_ms / slow_start_ms, kMinSlowStartShare, 1.0);
}

/// The slots that a target can use, which a limit of its request rate may keep below those it has.
double UsableSlots(const member_record& member, const target_load& load) {
  const bool is_reported = load.reported_at != time_point{};
  const std::uint32_t slots =
      is_reported ? std::min(member.target->slots, load.reported.slots) : member.target->slots;
  return std::max<double>(1, slots);
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
  return (weighted_requests + 1) /
         (UsableSlots(member, load) * SlowStartShare(member, content, context));
}

/// How much longer work takes on the target's machine now than usual. A reported pace changes many
/// times a second, so that an old one says little.
double ExpectedPace(const target_load& load, time_point now) {
  const std::chrono::duration<double> age = now - load.reported_at;
  const double reported = load.reported.pace_percent / 100.0;
  return 1 + (reported - 1) * std::exp2(-std::max(0.0, age / kPaceHalfLife));
}

/// The expected response time by the cost of the request and the work that the target still has to
/// do: what it reported, less what its slots have done since, and what was sent to it since.
double ExpectedResponseByCostMs(const member_record& member, const target_load& load,
                                const document& content, const selection_context& context) {
  const double slots = UsableSlots(member, load) * SlowStartShare(member, content, context);
  const double pace = std::max(kMinPace, ExpectedPace(load, context.now));
  const double own_ms = context.cost.mean_ms * load.relative_work;
  const std::chrono::duration<double, std::milli> age = context.now - load.reported_at;
  const double done_ms = slots * std::max(0.0, age.count()) / pace;
  const double sent_ms = load.sent_since_report * own_ms;
  const double left_ms = std::max(0.0, load.reported.work_left_ms + sent_ms - done_ms);
  // The slots are free as long as the work that is left fits them at one request each.
  const double requests = load.reported.in_use + load.reported.queued + load.sent_since_report;
  const double wait_ms = requests < slots ? 0 : left_ms / slots;
  const double utilisation = std::min(1.0, requests / slots);
  const double slowdown = kFullLoadSlowdown * utilisation * utilisation;
  return kRoundTripMs[DistanceOf(member, context)] + pace * (wait_ms + own_ms * (1 + slowdown));
}

bool KnowsCost(const target_load& load, const selection_context& context) {
  return load.reported.pace_percent > 0 && context.cost.samples >= kMinCostSamples;
}

/// The expected response time in milliseconds: the round trip, the service time of the target, and
/// the wait for a slot.
double ExpectedResponseMs(const member_record& member, const target_load& load,
                          const document& content, route_class kind,
                          const selection_context& context) {
  const std::chrono::duration<double> report_age = context.now - load.reported_at;
  const double reported = load.reported.in_use + load.reported.queued;
  const double requests = std::max<double>(
      load.outstanding, reported * std::exp2(-std::max(0.0, report_age / kReportHalfLife)));
  const double reported_ms = load.service_ms[static_cast<std::size_t>(kind)];
  const double service_ms = reported_ms > 0 ? reported_ms : kDefaultServiceMs;
  const double slots = UsableSlots(member, load) * SlowStartShare(member, content, context);
  const double utilisation = (requests + 1) / slots;
  const double slowdown =
      kFullLoadSlowdown * std::min(utilisation, 1.0) * std::min(utilisation, 1.0);
  const double queueing = std::max(0.0, utilisation - kQueueingUtilisation);
  return kRoundTripMs[DistanceOf(member, context)] + service_ms * (1 + slowdown + queueing);
}

/// The probability that a response takes longer than the time left for it, given its expected time.
/// Response times are taken to be distributed log-normally.
double LateRisk(double expected_ms, double left_ms, double spread) {
  if (left_ms <= 0) return 1;
  const double deviations = (std::log(left_ms / expected_ms) + spread * spread / 2) / spread;
  return std::erfc(deviations / std::sqrt(2.0)) / 2;
}

/// The cost of sending a request to a target, as time: the expected response time, and the values
/// lost if the response is late or a failure or crosses charged links.
double SelectionCostMs(const member_record& member, const document& content,
                       const route& chosen_route, const selection_context& context,
                       const load_board& loads, double jitter) {
  const target_load load = loads.Get(member.vm);
  const route_class kind = chosen_route.traffic_class;
  const bool by_cost = KnowsCost(load, context);
  const double expected_ms =
      jitter * (by_cost ? ExpectedResponseByCostMs(member, load, content, context)
                        : ExpectedResponseMs(member, load, content, kind, context));
  const double spread =
      by_cost ? std::max(kMinResponseSpread, context.cost.spread) : kResponseSpread;
  const auto objective_ms = static_cast<double>(chosen_route.latency_objective.count());
  const bool has_objective = objective_ms > 0;
  const double left_ms = objective_ms - static_cast<double>(context.spent.count());
  const double value_ms = has_objective ? objective_ms / kDurationCost : kValueWithoutObjectiveMs;
  const double late_cost = has_objective ? kLateCost * LateRisk(expected_ms, left_ms, spread) : 0;
  const double failure_cost = kFailureCost * FailureRatio(load, context.now);
  const double transfer_cost =
      kTransferCost[static_cast<std::size_t>(kind)][DistanceOf(member, context)];
  return expected_ms + value_ms * (late_cost + failure_cost + transfer_cost);
}

/// The member with the lowest selection cost. Random jitter keeps daemons that see the same reports
/// from all selecting the same target at once.
member_ptr CheapestTarget(const std::vector<member_ptr>& candidates, const document& content,
                          const route& chosen_route, const selection_context& context,
                          const load_board& loads, std::mt19937_64& random) {
  std::uniform_real_distribution<double> jitter(1 - kResponseMsJitter, 1 + kResponseMsJitter);
  member_ptr best;
  double best_ms = 0;
  for (const member_ptr& each : candidates) {
    const double cost_ms =
        SelectionCostMs(*each, content, chosen_route, context, loads, jitter(random));
    if (best != nullptr && cost_ms >= best_ms) continue;
    best = each;
    best_ms = cost_ms;
  }
  return best;
}

/// Selects a subset of the members by rendezvous hashing with the selecting daemon, so that each
/// daemon holds connections to a bounded, evenly distributed part of a large service.
std::vector<member_ptr> SelectSubset(std::vector<member_ptr> members,
                                     const std::string& selecting_vm, std::size_t max_size) {
  if (members.size() <= max_size) return members;
  std::vector<std::pair<std::uint64_t, member_ptr>> ranked;
  ranked.reserve(members.size());
  for (member_ptr& each : members) {
    const std::uint64_t rank = StableHash(selecting_vm + "/" + each->vm, 5);
    ranked.emplace_back(rank, std::move(each));
  }
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(max_size);
  std::nth_element(ranked.begin(), last, ranked.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  members.clear();
  std::transform(ranked.begin(), last, std::back_inserter(members),
                 [](auto& each) { return std::move(each.second); });
  return members;
}

/// As SelectSubset, but prefers near members and keeps some of each distance.
std::vector<member_ptr> SelectNearSubset(std::vector<member_ptr> members,
                                         const selection_context& context) {
  if (members.size() <= kMaxSubsetSize) return members;
  std::vector<member_ptr> by_distance[kDistances];
  for (member_ptr& each : members) {
    by_distance[DistanceOf(*each, context)].push_back(std::move(each));
  }
  std::vector<member_ptr> subset;
  for (int distance = kSameDataCentre; distance < kDistances; ++distance) {
    const auto selected = SelectSubset(std::move(by_distance[distance]), context.vm,
                                       kSubsetSizeUpTo[distance] - subset.size());
    subset.insert(subset.end(), selected.begin(), selected.end());
  }
  return subset;
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
    weights.push_back(static_cast<double>(std::max<std::int64_t>(0, each.weight)));
  }
  // An accepted document may have weights that are all 0; then the shares are equal.
  const bool has_weight =
      std::any_of(weights.begin(), weights.end(), [](double each) { return each > 0; });
  if (!has_weight) std::fill(weights.begin(), weights.end(), 1);
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
    const target_load load = loads.Get(each->vm);
    if (IsLeaving(load, *each->target)) continue;
    const bool avoid =
        load.ejected_until > context.now || each->version.state == member_state::kSuspect;
    (avoid ? avoided : healthy).push_back(each);
  }
  std::vector<member_ptr>& candidates = healthy.empty() ? avoided : healthy;
  if (candidates.empty()) return nullptr;
  if (target_locality == locality::kBalanced) {
    return CheapestTarget(SelectNearSubset(std::move(candidates), context), content, chosen_route,
                          context, loads, random);
  }
  if (target_locality != locality::kAny) {
    distance nearest = DistanceOf(*candidates.front(), context);
    for (const member_ptr& each : candidates) {
      nearest = std::min(nearest, DistanceOf(*each, context));
    }
    std::erase_if(candidates,
                  [&](const member_ptr& each) { return DistanceOf(*each, context) > nearest; });
  }
  candidates = SelectSubset(std::move(candidates), context.vm, kMaxSubsetSize);
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  const member_ptr first = candidates[draw(random)];
  const member_ptr second = candidates[draw(random)];
  return LoadScore(*first, content, context, loads) <= LoadScore(*second, content, context, loads)
             ? first
             : second;
}

}  // namespace catkinmoor
