#include "distribution/spread_plan.h"

#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

#include <criterion/criterion.h>

namespace {

using catkinmoor::member_record;
using catkinmoor::member_table;
using catkinmoor::PlanSpread;
using catkinmoor::spread_range;
using catkinmoor::spread_scope;

member_record Record(int region, int data_centre, int vm) {
  member_record record;
  record.region = "r" + std::to_string(region);
  record.data_centre = record.region + "-" + std::to_string(data_centre);
  record.vm = record.data_centre + "-" + std::to_string(vm);
  record.version = {1, 1, catkinmoor::member_state::kAlive};
  return record;
}

/// Generates a fleet with a random number of members in each data centre.
void FillFleet(member_table& table, std::vector<member_record>& members, int max_members) {
  const int regions = *rc::gen::inRange(1, 5);
  for (int region = 0; region < regions; ++region) {
    for (int data_centre = 0; data_centre < *rc::gen::inRange(1, 4); ++data_centre) {
      const int count = *rc::gen::inRange(1, max_members);
      for (int vm = 0; vm < count; ++vm) members.push_back(Record(region, data_centre, vm));
    }
  }
  for (const member_record& each : members) table.Merge(each);
}

/// Propagates a message through the fleet as daemons would; dead members do not respond. Returns
/// how often each member received it.
std::map<std::string, int> Propagate(const member_table& table, const member_record& origin,
                                     const std::set<std::string>& dead) {
  const auto view = table.View();
  std::map<std::string, int> received;
  ++received[origin.vm];
  std::deque<std::pair<member_record, spread_scope>> pending;
  pending.push_back({origin, {spread_range::kFleet, ""}});
  while (!pending.empty()) {
    const auto [self, scope] = pending.front();
    pending.pop_front();
    for (const auto& hop : PlanSpread(*view, self, scope)) {
      for (const auto& candidate : hop.candidates) {
        if (dead.contains(candidate.member->vm)) continue;
        ++received[candidate.member->vm];
        pending.push_back({*candidate.member, candidate.scope});
        break;
      }
    }
  }
  return received;
}

}  // namespace

Test(spread_plan, from_any_origin_reaches_every_member_exactly_once) {
  cr_assert(rc::check([] {
    member_table table;
    std::vector<member_record> members;
    FillFleet(table, members, 40);
    const auto origin = members[*rc::gen::inRange<std::size_t>(0, members.size())];
    const auto received = Propagate(table, origin, {});
    for (const auto& each : members) RC_ASSERT(received.at(each.vm) == 1);
  }));
}

Test(spread_plan, with_two_dead_members_still_reaches_every_live_one_once) {
  cr_assert(rc::check([] {
    member_table table;
    std::vector<member_record> members;
    FillFleet(table, members, 20);
    const auto origin = members[*rc::gen::inRange<std::size_t>(0, members.size())];
    std::set<std::string> dead;
    for (int i = 0; i < 2; ++i) {
      const auto& chosen = members[*rc::gen::inRange<std::size_t>(0, members.size())];
      if (chosen.vm != origin.vm) dead.insert(chosen.vm);
    }
    // A data centre whose members are all dead has nobody to reach. If the first relays of a region
    // are dead, the next candidates take over.
    const auto received = Propagate(table, origin, dead);
    for (const auto& each : members) {
      const auto found = received.find(each.vm);
      const int deliveries = found == received.end() ? 0 : found->second;
      RC_ASSERT(deliveries == (dead.contains(each.vm) ? 0 : 1));
    }
  }));
}

Test(spread_plan, in_a_large_data_centre_sends_to_at_most_nine_members_whatever_the_origin) {
  member_table table;
  for (int i = 0; i < 383; ++i) table.Merge(Record(0, 0, i));
  const auto view = table.View();
  const member_record self = Record(0, 0, 17);
  std::set<std::string> receivers;
  for (int i = 0; i < 383; ++i) {
    const spread_scope scope{spread_range::kRingSegment, Record(0, 0, i).vm};
    for (const auto& hop : PlanSpread(*view, self, scope)) {
      receivers.insert(hop.candidates.front().member->vm);
    }
  }
  cr_assert(receivers.size() <= 9);
}

Test(spread_plan, with_a_suspected_relay_prefers_another) {
  member_table table;
  for (int i = 0; i < 5; ++i) table.Merge(Record(0, 0, i));
  const auto first = Relays(*table.View(), "r0-0", 1).front();
  member_record suspect = *first;
  suspect.version.state = catkinmoor::member_state::kSuspect;
  table.Merge(suspect);
  cr_assert(Relays(*table.View(), "r0-0", 1).front()->vm != suspect.vm);
}
