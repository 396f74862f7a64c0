#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Label of a target that names its version.
inline constexpr const char* kVersionLabel = "version";

/// An operator's order to move the traffic of a service to the targets of a version.
struct rollout_order {
  std::string service;
  /// Revision of the order; a later order has a higher one.
  std::uint64_t number = 0;
  std::string target;
  milliseconds duration{0};

  friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// Bounds on the exposure of an unproven version; a rollout is conducted only if they are set.
struct rollout_bounds {
  /// Share of the requests to a service that an unproven version may get; 0 turns rollouts off.
  double expose_share = 0;
  /// Requests that it may get beyond that share.
  double expose_slack = 0;
  /// Time after the 50th bad response in which the version may still get requests.
  milliseconds rollback{5'000};

  bool Enabled() const { return expose_share > 0; }

  friend bool operator==(const rollout_bounds&, const rollout_bounds&) = default;
};

/// Phases of a rollout, in the order in which they are passed through.
enum class rollout_phase {
  kOrdered,  ///< No conductor has stated anything yet; the version gets nothing.
  kWaiting,  ///< The version has no targets.
  kCanary,   ///< Few requests, each of them granted by the conductor.
  kLoad,     ///< As kCanary, but on few targets, so that each carries its later load.
  kHalf,     ///< Proven; half of the requests.
  kFull,     ///< All requests; entries that do not hear the conductor return to other versions.
  kClosing,  ///< All requests for good; entries confirm that nothing goes to other versions.
  kSucceeded,
  kRolledBack,
};

/// Name of a phase in logs, rows and tools.
const char* PhaseName(rollout_phase phase);
std::optional<rollout_phase> ParsePhase(std::string_view name);

inline bool IsFinal(rollout_phase phase) { return phase >= rollout_phase::kSucceeded; }

/// Whether an entry needs a grant for each request that it sends to the version.
inline bool NeedsGrants(rollout_phase phase) {
  return phase == rollout_phase::kCanary || phase == rollout_phase::kLoad;
}

/// State of a rollout as its conductor states it.
struct rollout_state {
  rollout_order order;
  rollout_phase phase = rollout_phase::kOrdered;
  /// Share of the requests that the version gets.
  double share = 0;
  /// Share of the version's targets that are used.
  double target_fraction = 1;
  /// Vm of the conductor; empty if there is none yet.
  std::string conductor;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  /// Versions that were ordered before and not proven. They get no requests.
  std::vector<std::string> excluded;
  /// Reason for the last change of the phase.
  std::string reason;

  friend bool operator==(const rollout_state&, const rollout_state&) = default;
};

/// Whether a state replaces another of the same service.
inline bool IsNewer(const rollout_state& left, const rollout_state& right) {
  return std::tie(left.order.number, left.epoch, left.sequence) >
         std::tie(right.order.number, right.epoch, right.sequence);
}

/// Response times are counted in buckets, each sqrt(2) times as wide as the one before; the first
/// ends at 1 ms.
inline constexpr std::size_t kTimeBuckets = 32;
std::size_t TimeBucket(milliseconds duration);

/// Responses of the targets of one side of a rollout on one route.
struct version_figures {
  std::uint64_t requests = 0;
  /// Responses with status 5xx, broken and lost responses.
  std::uint64_t failures = 0;
  /// Response times of successes, without those of targets that are cold.
  std::array<std::uint64_t, kTimeBuckets> times{};

  friend bool operator==(const version_figures&, const version_figures&) = default;
};

/// What an entry counted for one route.
struct rollout_counts {
  /// Whether the targets have the ordered version.
  bool ordered = false;
  std::string route;
  version_figures figures;

  friend bool operator==(const rollout_counts&, const rollout_counts&) = default;
};

/// Everything that an entry has counted since it learnt of the order. The counts are totals, so
/// that a report that is lost or repeated does no harm.
struct rollout_report {
  std::string sender;
  std::uint64_t incarnation = 0;
  /// Rises with each report of the incarnation.
  std::uint64_t number = 0;
  std::string service;
  std::uint64_t order = 0;
  /// The newest state that the entry applies.
  std::uint64_t seen_epoch = 0;
  std::uint64_t seen_sequence = 0;
  /// Requests in progress at targets of other versions.
  std::uint64_t other_in_flight = 0;
  /// Requests to the service that a target has run.
  std::uint64_t requests = 0;
  /// Requests sent to the ordered version.
  std::uint64_t exposed = 0;
  /// Grants of this epoch that the entry gave back unused.
  std::uint64_t grant_epoch = 0;
  std::uint64_t returned = 0;
  std::vector<rollout_counts> counts;

  friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

/// Answer to a report: the newest state, and the number of requests that the entry may have sent to
/// the ordered version in this epoch, those given back included.
struct rollout_report_reply {
  std::optional<rollout_state> state;
  std::uint64_t grant_epoch = 0;
  std::uint64_t granted = 0;

  friend bool operator==(const rollout_report_reply&, const rollout_report_reply&) = default;
};

}  // namespace catkinmoor
