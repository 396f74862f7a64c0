#include "distribution/spread_plan.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

constexpr std::size_t kCandidates = 3;
constexpr std::uint64_t kRelayHashSeed = 2;
constexpr std::uint64_t kReaderHashSeed = 3;

/// The first `count` members in the order of a hash. Suspected members come after all others.
std::vector<member_ptr> RankedByHash(const std::vector<member_ptr>& members, std::uint64_t seed,
                                     std::size_t count) {
  using ranked = std::tuple<member_state, std::uint64_t, const member_ptr*>;
  std::vector<ranked> order;
  order.reserve(members.size());
  for (const member_ptr& each : members) {
    order.emplace_back(each->version.state, StableHash(each->vm, seed), &each);
  }
  const std::size_t kept = std::min(count, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
      [](const ranked& left, const ranked& right) {
        return std::tie(std::get<0>(left), std::get<1>(left), (*std::get<2>(left))->vm) <
               std::tie(std::get<0>(right), std::get<1>(right), (*std::get<2>(right))->vm);
      });
  std::vector<member_ptr> ranking;
  ranking.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) ranking.push_back(*std::get<2>(order[i]));
  return ranking;
}

/// The members after self on its ring, in order, up to and including the last one.
std::vector<member_ptr> SegmentAfter(const member_view& view, const member_record& self,
                                     const std::string& last) {
  auto members = Successors(view, self.data_centre, self.vm, SIZE_MAX);
  const std::uint64_t start = RingPosition(self.vm);
  const std::uint64_t length = RingPosition(last) - start;
  const auto segment_end = std::partition_point(
      members.begin(), members.end(),
      [&](const member_ptr& each) { return RingPosition(each->vm) - start <= length; });
  members.erase(segment_end, members.end());
  return members;
}

/// Splits consecutive ring members into hops whose first candidates are at power-of-two distances.
void PlanSegment(const std::vector<member_ptr>& members, std::vector<spread_hop>& hops) {
  if (members.empty()) return;
  std::size_t end = members.size();
  for (std::size_t begin = std::bit_floor(end); begin >= 1; begin /= 2) {
    spread_hop hop;
    for (std::size_t i = begin - 1; i < end && hop.candidates.size() < kCandidates; ++i) {
      const spread_scope scope{spread_range::kRingSegment, members[end - 1]->vm};
      hop.candidates.push_back({members[i], scope});
    }
    hops.push_back(std::move(hop));
    end = begin - 1;
  }
}

void PlanRelay(const std::vector<member_ptr>& relays, spread_range range,
               std::vector<spread_hop>& hops) {
  if (relays.empty()) return;
  spread_hop hop;
  for (const member_ptr& each : relays) hop.candidates.push_back({each, {range, ""}});
  hops.push_back(std::move(hop));
}

void PlanOtherRegions(const member_view& view, const member_record& self,
                      std::vector<spread_hop>& hops) {
  for (const auto& [region, data_centres] : view.regions) {
    if (region == self.region || data_centres.empty()) continue;
    std::vector<member_ptr> candidates;
    for (const std::string& data_centre : data_centres) {
      for (const member_ptr& relay : Relays(view, data_centre, kCandidates)) {
        candidates.push_back(relay);
      }
    }
    PlanRelay(RankedByHash(candidates, kRelayHashSeed, kCandidates), spread_range::kRegion, hops);
  }
}

void PlanOtherDataCentres(const member_view& view, const member_record& self,
                          std::vector<spread_hop>& hops) {
  const auto own = view.regions.find(self.region);
  if (own == view.regions.end()) return;
  for (const std::string& data_centre : own->second) {
    if (data_centre == self.data_centre) continue;
    PlanRelay(Relays(view, data_centre, kCandidates), spread_range::kDataCentre, hops);
  }
}

}  // namespace

std::vector<spread_hop> PlanSpread(const member_view& view, const member_record& self,
                                   const spread_scope& scope) {
  std::vector<spread_hop> hops;
  if (scope.range == spread_range::kFleet) PlanOtherRegions(view, self, hops);
  if (scope.range == spread_range::kFleet || scope.range == spread_range::kRegion) {
    PlanOtherDataCentres(view, self, hops);
  }
  const bool whole_ring = scope.range != spread_range::kRingSegment;
  PlanSegment(whole_ring ? Successors(view, self.data_centre, self.vm, SIZE_MAX)
                         : SegmentAfter(view, self, scope.last_vm),
              hops);
  return hops;
}

std::vector<member_ptr> Relays(const member_view& view, const std::string& data_centre,
                               std::size_t count) {
  const auto found = view.data_centres.find(data_centre);
  if (found == view.data_centres.end()) return {};
  return RankedByHash(found->second, kRelayHashSeed, count);
}

std::vector<member_ptr> Readers(const member_view& view, const std::string& region,
                                std::size_t count) {
  std::vector<member_ptr> members;
  const auto own = view.regions.find(region);
  if (own == view.regions.end()) return members;
  for (const std::string& data_centre : own->second) {
    const auto& present = view.data_centres.at(data_centre);
    members.insert(members.end(), present.begin(), present.end());
  }
  return RankedByHash(members, kReaderHashSeed, count);
}

}  // namespace catkinmoor
