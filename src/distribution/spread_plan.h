#pragma once

#include <string>
#include <vector>

#include "membership/member_table.h"
#include "peer/messages.h"

namespace catkinmoor {

/// One part of the work handed on: the candidates that can take it, best first, with the scope that
/// each of them would be given.
struct spread_hop {
  struct candidate {
    member_ptr member;
    spread_scope scope;
  };
  std::vector<candidate> candidates;
};

/// Divides a scope among other members. Each member in scope is covered by exactly one hop when all
/// daemons see the same members; what differing views miss is left to comparison between
/// neighbours. Inside a data centre a daemon only ever sends to members at distances that are
/// powers of two on the ring, so that few connections serve every origin.
std::vector<spread_hop> PlanSpread(const member_view& view, const member_record& self,
                                   const spread_scope& scope);

/// The members of a data centre that carry its traffic with the others, best first.
std::vector<member_ptr> Relays(const member_view& view, const std::string& data_centre,
                               std::size_t count);

/// The members of a region that read the source, best first.
std::vector<member_ptr> Readers(const member_view& view, const std::string& region,
                                std::size_t count);

}  // namespace catkinmoor
