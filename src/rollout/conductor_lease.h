#pragma once

#include <optional>

#include "rollout/rollout_plan.h"

namespace catkinmoor {

/// The row of the table that names the conductor of a service's rollout and keeps its record.
struct conductor_row {
  std::string vm;
  /// Rises with each claim.
  std::uint64_t epoch = 0;
  rollout_record record;
  /// Whether the operator's status row states the end of the rollout.
  bool status_written = false;
  /// Revision of the row; not part of its value.
  std::uint64_t revision = 0;

  friend bool operator==(const conductor_row&, const conductor_row&) = default;
};

/// Whether this daemon conducts a rollout. The conductor counts its lease from the moment at which
/// it sent its last successful renewal; others claim the row only when they have seen it unchanged
/// for longer than that. So two daemons never hold it at once, whatever is delayed or paused, as
/// long as all times count suspensions.
class conductor_lease {
 public:
  static constexpr milliseconds kRenewal{1'000};
  static constexpr milliseconds kHolding{2'500};
  static constexpr milliseconds kTakeover{3'000};

  enum class step {
    kWait,
    kClaim,
    kFinished,  ///< The rollout has ended, and its status is written.
  };

  /// Decides on a row that was read for an order; nothing if there is no row. A conductor that is
  /// known to be gone may still renew the row, if it is cut off from the fleet and not from the
  /// table. Its grants are then limited by its record, which a claim continues from.
  step Observe(const std::optional<conductor_row>& row, std::uint64_t order,
               const std::string& self, bool conductor_gone, time_point now);

  /// The row to claim with after Observe returned kClaim.
  conductor_row MakeClaim(const std::optional<conductor_row>& row, const rollout_order& order,
                          const std::string& self, time_point now) const;

  void OnRenewed(time_point sent_at) { renewed_at_ = sent_at; }
  bool Holds(time_point now) const { return renewed_at_ && now - *renewed_at_ < kHolding; }
  bool RenewalDue(time_point now) const { return !renewed_at_ || now - *renewed_at_ >= kRenewal; }
  void Release() { renewed_at_.reset(); }

 private:
  std::optional<time_point> renewed_at_;
  std::uint64_t seen_revision_ = 0;
  time_point seen_at_{};
};

/// The record of a new order after an earlier one of the service. A version that was not proven
/// then gets no requests, unless it is ordered now.
rollout_record SucceedingRecord(const rollout_record& previous, const rollout_order& order);

}  // namespace catkinmoor
