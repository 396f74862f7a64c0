#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quota/quota_settings.h"

namespace catkinmoor {

/// The row of the table that names the quota authority.
struct authority_row {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  /// Number of the write within the epoch.
  std::uint64_t renewal = 0;
  /// Whether all permits of the epochs before are certain to be void.
  bool settled = false;
  /// Whether the authority has stopped.
  bool released = false;
  /// Era of the store when the row was written, if the writer knew it.
  std::optional<std::uint64_t> era = std::nullopt;
  /// Control endpoint of the authority, for daemons that do not know it as a member yet.
  std::string control = {};

  friend bool operator==(const authority_row&, const authority_row&) = default;
};

std::string SerializeAuthorityRow(const authority_row& row);
std::optional<authority_row> ParseAuthorityRow(std::string_view text);

/// Time from the sending of a claim or renewal for which its writer is the authority.
inline constexpr milliseconds kAuthorityLease{4'000};

/// Time for which others must have seen the row unchanged before they claim it.
inline constexpr milliseconds kAuthorityVacancy{4'500};

inline constexpr milliseconds kAuthorityRenewInterval{1'000};

/// Greatest time from the sending of one read of the row to the answer of the next for which the
/// row counts as seen unchanged.
inline constexpr milliseconds kMaxReadGap{1'600};

/// Decides when to claim and renew the authority's row, from what reads of the row return. The
/// answer to a write proves nothing: it may be lost, and the write may take effect seconds later. A
/// write counts once a read returns it, from the moment at which it was sent, and each is
/// conditional on the revision that was read.
///
/// The store may go back to an older state and give out its revisions again. Where its era is
/// known, a change of it restarts the wait for the vacancy, and a row can be claimed at once only
/// if it was written in the present era. Where it is not known, nothing is claimed at once, and a
/// claim counts only when a later read than the next one of all others has returned it. Not
/// thread-safe; the caller passes the time.
class authority_claim {
 public:
  /// `delay` is added to the vacancy, so that daemons do not claim at the same moment.
  authority_claim(std::string vm, std::uint64_t incarnation, milliseconds delay)
      : vm_(std::move(vm)), incarnation_(incarnation), delay_(delay) {}

  /// Sets the control endpoint that the rows of this daemon state.
  void SetControl(std::string control) { control_ = std::move(control); }

  /// Takes over the answer to a read of the row. `sent_at` is when the read was sent, `now` when
  /// the answer arrived. `era` is the store's era if it is known.
  void OnRead(const std::optional<authority_row>& row, std::uint64_t revision,
              std::optional<std::uint64_t> era, boot_time_point sent_at, boot_time_point now);

  /// A write that is due, on condition of the revision that was read (0: no row). Decided on the
  /// last read, which the caller makes right before.
  struct row_claim {
    authority_row row;
    std::uint64_t expected_revision = 0;
  };

  /// The claim or renewal to write now, if one is due. It counts as sent at `now`.
  std::optional<row_claim> NextWrite(bool settled, boot_time_point now);

  /// The write that releases the row, if this daemon holds it. Ends its authority at once.
  std::optional<row_claim> Release();

  /// Whether this daemon is the authority.
  bool IsAuthority(boot_time_point now) const { return held_ && now < lease_end_; }

  /// Epoch of this daemon's authority; meaningful while it is the authority.
  std::uint64_t Epoch() const { return held_ ? held_->epoch : 0; }

  /// Moment from which this daemon's authority counts: the sending of its claim.
  boot_time_point ClaimedAt() const { return claimed_at_; }

  /// Whether the epoch before had settled when this daemon claimed the row.
  bool PredecessorSettled() const { return predecessor_settled_; }

  /// The row as last read.
  const std::optional<authority_row>& LastRow() const { return row_; }

 private:
  bool IsMine(const authority_row& row) const {
    return row.vm == vm_ && row.incarnation == incarnation_;
  }
  bool MayClaim(boot_time_point now) const;
  void ConfirmWrite(const authority_row& row, boot_time_point read_sent_at, boot_time_point now);

  std::string vm_;
  std::uint64_t incarnation_;
  std::string control_;
  milliseconds delay_;
  std::optional<authority_row> row_;
  std::uint64_t revision_ = 0;
  std::optional<std::uint64_t> era_;
  /// When the latest read was sent; none before the first.
  std::optional<boot_time_point> read_sent_at_;
  boot_time_point unchanged_since_;
  /// Epochs are not used twice, even if the row goes back.
  std::uint64_t highest_epoch_ = 0;

  /// A write that may take effect.
  struct sent_write {
    authority_row row;
    boot_time_point sent_at;
    bool predecessor_settled = true;
    /// When a read first returned it.
    std::optional<boot_time_point> seen_at = std::nullopt;
  };
  std::deque<sent_write> sent_;

  /// The row of this daemon's present epoch, as last read or written.
  std::optional<authority_row> held_;
  boot_time_point claimed_at_;
  boot_time_point lease_end_;
  bool predecessor_settled_ = true;
};

/// Time by which a daemon claims a vacant row later than the best placed one. Daemons with more
/// processor share come first; the hash separates equal ones.
milliseconds ClaimDelay(const std::string& vm, double processor_share);

/// Number of daemons that watch the row. The others learn the authority from them, and watch the
/// row themselves only while no authority is found.
inline constexpr std::size_t kAuthorityCandidates = 3;

/// Processor share, in cores, from which on a vm can answer a fleet of some hundred daemons.
inline constexpr double kStrongProcessorShare = 0.4;

/// Whether a daemon on a strong vm watches the row besides the candidates, who may all be on weak
/// ones: one in as many as there are 64 daemons, so that store calls stay few in a large fleet.
bool WatchesAsStrong(const std::string& vm, double processor_share, std::size_t daemons);

/// The members that watch the row, by rendezvous hash among those that are present.
std::vector<std::string> AuthorityCandidates(std::vector<std::string> present);

}  // namespace catkinmoor
