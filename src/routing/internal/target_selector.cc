#include "routing/target_selector.h"

#include <algorithm>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

constexpr milliseconds kReportAge{2'000};
constexpr double kQueuePenalty = 2.0;
constexpr double kLeastShare = 0.05;
constexpr std::size_t kSubset = 16;

/// Round trips by distance: within a data centre, a region, and between regions; usual figures of
/// the users' networks, since only their differences matter.
constexpr double kRoundTripMs[] = {0.4, 2.0, 24.0};
/// What a failure costs the caller, as a time: about that of another try.
constexpr double kFailureMs = 600;
constexpr int kBetweenRegions = 2;
/// Links between regions are paid by volume: an answer must be this much sooner to be worth one,
/// and more for the long answers of downloads.
constexpr double kPaidLinkMs = 60;
constexpr double kDownloadLinkMs = 200;
/// Time of a target that has reported none yet.
constexpr double kAssumedServiceMs = 100;
/// How much a full target slows its requests down compared with an idle one.
constexpr double kCrowdingWeight = 0.3;
/// Share of slots in use above which a request may have to wait.
constexpr double kComfortableShare = 0.9;
constexpr double kChance = 0.08;

bool HasLabels(const label_map& present, const label_map& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& each) {
    const auto found = present.find(each.first);
    return found != present.end() && found->second == each.second;
  });
}

/// How far a member is from where the request starts: 0 data centre, 1 region, 2 beyond.
int Distance(const member_record& member, const selection_context& context) {
  if (member.data_centre == context.data_centre) return 0;
  return member.region == context.region ? 1 : 2;
}

/// The share of its slots that a target may use while it warms up.
double WarmShare(const member_record& member, const document& content,
                 const selection_context& context) {
  const auto ramp = static_cast<double>(content.targets.slow_start.count());
  if (ramp <= 0 || context.wall_ms < member.target->ready_at_ms) return 1;
  const auto age = static_cast<double>(context.wall_ms - member.target->ready_at_ms);
  return std::clamp(age / ramp, kLeastShare, 1.0);
}

/// Expected work per usable slot; lower is better.
double Score(const member_record& member, const document& content, const selection_context& context,
             const load_board& loads) {
  const target_load load = loads.Get(member.vm);
  double work = load.outstanding;
  if (context.now - load.reported_at < kReportAge) {
    work = std::max(work, static_cast<double>(load.reported.in_use)) +
           kQueuePenalty * load.reported.queued;
  }
  const double slots = std::max<double>(1, member.target->slots);
  return (work + 1) / (slots * WarmShare(member, content, context));
}

/// The time in which an answer is expected, in milliseconds: the way there and back, the time that
/// the target takes, and the wait for a slot.
double ExpectedMs(const member_record& member, const document& content, route_class kind,
                  const selection_context& context, const load_board& loads) {
  const target_load load = loads.Get(member.vm);
  const bool fresh = context.now - load.reported_at < kReportAge;
  double work = load.outstanding;
  if (fresh) {
    work = std::max(work, static_cast<double>(load.reported.in_use + load.reported.queued));
  }
  const double known_ms = load.service_ms[static_cast<std::size_t>(kind)];
  const double service_ms = known_ms > 0 ? known_ms : kAssumedServiceMs;
  const double slots =
      std::max<double>(1, member.target->slots) * WarmShare(member, content, context);
  const double full = (work + 1) / slots;
  const double crowding = kCrowdingWeight * std::min(full, 1.0) * std::min(full, 1.0);
  const double wait = std::max(0.0, full - kComfortableShare);
  const double link = kind == route_class::kDownload ? kDownloadLinkMs : kPaidLinkMs;
  const int distance = Distance(member, context);
  const double way = kRoundTripMs[distance] + (distance == kBetweenRegions ? link : 0);
  const double failures = kFailureMs * FailedShare(load, context.now);
  return way + failures + service_ms * (1 + crowding + wait);
}

/// The member whose answer is expected soonest. A little chance keeps choosers that see the same
/// reports from turning to one target all at once.
member_ptr SoonestOf(const std::vector<member_ptr>& from, const document& content, route_class kind,
                     const selection_context& context, const load_board& loads,
                     std::mt19937_64& random) {
  std::uniform_real_distribution<double> chance(1 - kChance, 1 + kChance);
  member_ptr best;
  double least = 0;
  for (const member_ptr& each : from) {
    const double expected = ExpectedMs(*each, content, kind, context, loads) * chance(random);
    if (best != nullptr && expected >= least) continue;
    best = each;
    least = expected;
  }
  return best;
}

/// Keeps the members whose hash with the chooser is greatest, so that each chooser holds
/// connections to a bounded, evenly spread part of a large service.
std::vector<member_ptr> SubsetFor(std::vector<member_ptr> members, const std::string& chooser) {
  if (members.size() <= kSubset) return members;
  const auto rank = [&](const member_ptr& each) { return StableHash(chooser + "/" + each->vm, 5); };
  std::nth_element(members.begin(), members.begin() + kSubset, members.end(),
                   [&](const auto& left, const auto& right) { return rank(left) > rank(right); });
  members.resize(kSubset);
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

route_split DrawSplit(const document& content, const route& chosen_route, std::mt19937_64& random) {
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
  const locality preference = chosen_route.preference;
  std::vector<member_ptr> healthy;
  std::vector<member_ptr> ejected;
  for (const member_ptr& each : eligible) {
    if (context.tried.contains(each->vm)) continue;
    if (preference == locality::kRegion && each->region != context.region) continue;
    const bool out = loads.Get(each->vm).ejected_until > context.now ||
                     each->version.state == member_state::kSuspect;
    (out ? ejected : healthy).push_back(each);
  }
  std::vector<member_ptr>& from = healthy.empty() ? ejected : healthy;
  if (from.empty()) return nullptr;
  if (preference == locality::kBalanced) {
    return SoonestOf(SubsetFor(std::move(from), context.vm), content, chosen_route.kind, context,
                     loads, random);
  }
  if (preference != locality::kAny) {
    int nearest = Distance(*from.front(), context);
    for (const member_ptr& each : from) nearest = std::min(nearest, Distance(*each, context));
    std::erase_if(from, [&](const member_ptr& each) { return Distance(*each, context) > nearest; });
  }
  from = SubsetFor(std::move(from), context.vm);
  std::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
  const member_ptr first = from[draw(random)];
  const member_ptr second = from[draw(random)];
  return Score(*first, content, context, loads) <= Score(*second, content, context, loads) ? first
                                                                                           : second;
}

}  // namespace catkinmoor
