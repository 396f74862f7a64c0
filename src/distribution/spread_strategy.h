#pragma once

#include <memory>
#include <string>
#include <vector>

#include "distribution/spread_plan.h"

namespace catkinmoor {

/// Decides who carries news to whom and who reads the source. Strategies hold no socket or clock.
class spread_strategy {
 public:
  virtual ~spread_strategy() = default;

  /// The parts into which a scope is handed on by this daemon.
  virtual std::vector<spread_hop> Plan(const member_view& view, const member_record& self,
                                       const spread_scope& scope) = 0;

  /// Whether this daemon polls the source now.
  virtual bool ReadsSource(const member_view& view, const member_record& self) const = 0;

  /// Whether documents are spread at all, or left to each daemon's own look at the source.
  virtual bool SpreadsDocuments() const { return true; }

  /// Whether a record is handed on even when it was held already, as a tree has to.
  virtual bool ForwardsHeld() const = 0;
};

/// Names of the strategies as they stand in settings.
inline constexpr const char* kTreeStrategy = "tree";
inline constexpr const char* kGossipStrategy = "gossip";
inline constexpr const char* kPollStrategy = "poll";

/// Makes a strategy by name; the seed drives its random choices. Null for an unknown name.
std::unique_ptr<spread_strategy> MakeSpreadStrategy(const std::string& name, std::uint64_t seed);

}  // namespace catkinmoor
