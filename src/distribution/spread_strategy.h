#pragma once

#include <memory>
#include <string>
#include <vector>

#include "distribution/spread_plan.h"

namespace catkinmoor {

/// Decides which members forward updates to which, and which read the source. Strategies use no
/// sockets or clocks.
class spread_strategy {
 public:
  virtual ~spread_strategy() = default;

  /// The hops to which this daemon delegates a scope.
  virtual std::vector<spread_hop> Plan(const member_view& view, const member_record& self,
                                       const spread_scope& scope) = 0;

  /// Whether this daemon polls the source now.
  virtual bool ReadsSource(const member_view& view, const member_record& self) const = 0;

  /// Whether documents are spread at all; if not, every daemon reads them from the source.
  virtual bool SpreadsDocuments() const { return true; }

  /// Whether daemons that read the source confirm its state to those that do not.
  virtual bool SpreadsConfirmations() const { return false; }

  /// Whether a record is forwarded even if it was already held. A tree has to, since the members
  /// further down get it from nobody else.
  virtual bool ForwardsHeld() const = 0;
};

/// Names of the strategies as used in settings.
inline constexpr const char* kTreeStrategy = "tree";
inline constexpr const char* kGossipStrategy = "gossip";
inline constexpr const char* kPollStrategy = "poll";

/// Creates a strategy by name; the seed is for its random choices. Null for an unknown name.
std::unique_ptr<spread_strategy> MakeSpreadStrategy(const std::string& name, std::uint64_t seed);

}  // namespace catkinmoor
