#pragma once

#include <string>
#include <vector>

#include "membership/member_table.h"
#include "peer/messages.h"

namespace catkinmoor {

/// One part of a scope to delegate: the candidates for it, best first, with the scope that each of
/// them would be given.
struct spread_hop {
  struct candidate {
    member_ptr member;
    spread_scope scope;
  };
  std::vector<candidate> candidates;
};

/// Divides a scope among other members. Each member in scope is covered by exactly one hop if all
/// daemons have the same view of the members; what is missed because views differ is repaired by
/// comparison between neighbours. Inside a data centre the first candidate of a hop is always at a
/// power-of-two distance on the ring, so that a daemon needs few connections whatever the origin.
std::vector<spread_hop> PlanSpread(const member_view& view, const member_record& self,
                                   const spread_scope& scope);

/// Up to `count` relays of a data centre, which exchange updates with other data centres, best
/// first.
std::vector<member_ptr> Relays(const member_view& view, const std::string& data_centre,
                               std::size_t count);

/// Up to `count` members of a region that read the source, best first.
std::vector<member_ptr> Readers(const member_view& view, const std::string& region,
                                std::size_t count);

}  // namespace catkinmoor
