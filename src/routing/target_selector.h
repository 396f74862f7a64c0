#pragma once

#include <random>
#include <set>
#include <string>
#include <vector>

#include "document/document.h"
#include "membership/member.h"
#include "routing/load_board.h"

namespace catkinmoor {

/// The origin of a request and the targets already tried for it.
struct selection_context {
  std::string vm;
  std::string region;
  std::string data_centre;
  std::set<std::string> tried_vms;
  time_point now;
  std::uint64_t wall_ms = 0;
  /// Time since the request arrived, which counts towards the route's latency objective.
  milliseconds spent{0};
  /// What the request is expected to cost; without samples the selection goes by route class.
  cost_estimate cost = {};
};

/// The targets that a split of a document's route may use: announced for the service, ready, in the
/// document's regions, and with the labels of both the document and the split. Keeps their order.
std::vector<member_ptr> EligibleTargets(const document& content, const route_split& split,
                                        const std::vector<member_ptr>& announced);

/// Selects one of the route's splits at random by weight, with its service filled in.
route_split PickSplit(const document& content, const route& chosen_route, std::mt19937_64& random);

/// Selects a target. By default it is the better of two random choices (by outstanding requests and
/// reported load) at the nearest distance that has targets; with balanced locality it is the one
/// with the lowest cost, weighing the expected response time, the risk of missing the objective or
/// of a failure, and the transfer between data centres and regions. Targets already tried are
/// excluded; those that are ejected after failures or suspected are used only when there are no
/// others. Null when there is none.
member_ptr PickTarget(const std::vector<member_ptr>& eligible, const document& content,
                      const route& chosen_route, const selection_context& context,
                      const load_board& loads, std::mt19937_64& random);

}  // namespace catkinmoor
