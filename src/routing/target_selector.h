#pragma once

#include <random>
#include <set>
#include <string>
#include <vector>

#include "document/document.h"
#include "membership/member.h"
#include "routing/load_board.h"

namespace catkinmoor {

/// Where a request starts and what has been tried for it.
struct selection_context {
  std::string vm;
  std::string region;
  std::string data_centre;
  std::set<std::string> tried;
  time_point now;
  std::uint64_t wall_ms = 0;
};

/// The targets that a document's routes may use: announced for the service, ready, in the
/// document's regions and with its labels. Order is kept.
std::vector<member_ptr> EligibleTargets(const document& content, const route_split& split,
                                        const std::vector<member_ptr>& announced);

/// Draws one of the route's splits by weight, its service filled in.
route_split DrawSplit(const document& content, const route& chosen_route, std::mt19937_64& random);

/// Picks a target: by default the nearest place that has one, there the better of two random
/// choices on outstanding work and load reported on answers; with balanced locality the one whose
/// answer is expected soonest. Targets already tried are left out, and those that failed lately are
/// used only when nothing else is left. Null when there is none.
member_ptr PickTarget(const std::vector<member_ptr>& eligible, const document& content,
                      const route& chosen_route, const selection_context& context,
                      const load_board& loads, std::mt19937_64& random);

}  // namespace catkinmoor
