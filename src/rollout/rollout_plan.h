#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "rollout/rollout_verdict.h"

namespace catkinmoor {

/// What a conductor must keep for its successor.
struct rollout_record {
  rollout_order order;
  rollout_phase phase = rollout_phase::kOrdered;
  /// Time since the order was first heard.
  milliseconds elapsed{0};
  /// Upper bound on the requests that were granted to the version.
  std::uint64_t committed = 0;
  std::vector<std::string> excluded;
  std::string reason;

  friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

/// The part of the fleet that a rollout depends on.
struct rollout_fleet {
  std::size_t ordered_targets = 0;
  /// Daemons that are alive, each with an entry.
  std::set<std::string> entries;
};

/// The decisions of the conductor of one rollout: grants of requests to the unproven version,
/// phases, and the verdict. Uses no clock: all times are passed, and must count suspensions.
///
/// Grants. An entry sends a request to an unproven version only with a grant. Grants given and not
/// given back never exceed the safe part of the bound, computed from requests that entries have
/// reported as run, so the bound holds whatever is lost, late or cut off.
class rollout_plan {
 public:
  /// Continues from a record, which for a new order has only the order and the excluded versions.
  rollout_plan(rollout_record record, rollout_bounds bounds, std::string conductor,
               std::uint64_t epoch, time_point now);

  /// Takes over a report, and grants requests to its sender. Reports that are older than one taken
  /// over before, or of another order, change nothing.
  rollout_report_reply OnReport(const rollout_report& report, time_point now);

  /// Judges the evidence and moves on to another phase if it is due. True if the phase changed.
  bool Step(const rollout_fleet& fleet, time_point now);

  /// Ends the rollout as failed, for a cause other than the evidence.
  void Abandon(std::string reason);

  /// The next state to spread; each has a higher sequence number.
  rollout_state NextState();
  rollout_state State() const { return state_; }

  /// The record that must be in the table before the conductor acts on the present phase. Raises
  /// the number of grants that may be given until the next record by what is expected.
  rollout_record MakeRecord(time_point now);

  /// Allows the grants of a record that is in the table.
  void OnRecorded(const rollout_record& record);

  const rollout_evidence& Evidence() const { return evidence_; }
  std::uint64_t Requests() const { return requests_; }
  std::uint64_t Granted() const { return base_ + outstanding_; }
  /// Requests that may be granted in total.
  double Allowance() const;
  /// Requests to the version that entries have reported.
  std::uint64_t Exposed() const { return exposed_; }

 private:
  struct entry_record {
    std::uint64_t number = 0;
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    std::uint64_t granted = 0;
    std::uint64_t returned = 0;
    std::uint64_t seen_sequence = 0;
    std::uint64_t other_in_flight = 0;
    std::map<std::pair<bool, std::string>, version_figures> figures;
  };

  milliseconds Elapsed(time_point now) const;
  milliseconds Deadline() const;
  void Grant(entry_record& entry, std::uint64_t new_requests, bool is_new);
  bool TakeGrant(double limit);
  double Rate(time_point now) const;
  void SetPhase(rollout_phase phase, std::string reason, time_point now);
  bool RollBackIfBad(time_point now);
  bool HasEvidence(const rollout_evidence& evidence, std::uint64_t needed) const;
  void SetShare(time_point now);
  bool AllClosed(const rollout_fleet& fleet) const;

  rollout_bounds bounds_;
  rollout_state state_;
  time_point started_at_;
  milliseconds elapsed_before_;
  time_point phase_at_;
  time_point targets_at_{};
  time_point targets_seen_at_{};
  /// Grants of earlier conductors, and those of this one that were not given back.
  std::uint64_t base_ = 0;
  std::uint64_t outstanding_ = 0;
  std::uint64_t committed_ = 0;
  std::uint64_t preplaced_ = 0;
  double carry_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t exposed_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, entry_record> entries_;
  rollout_evidence evidence_;
  rollout_evidence phase_evidence_;
  struct snapshot {
    time_point at{};
    std::uint64_t requests = 0;
    rollout_evidence evidence;
  };
  std::deque<snapshot> history_;
  std::uint64_t closing_sequence_ = 0;
  bool suspicious_ = false;
};

}  // namespace catkinmoor
