#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// What is known of the attempt before a retry.
enum class retry_kind {
  kNotRun,      ///< The request provably has not run.
  kMayHaveRun,  ///< The retry may run the request again, including the calls that it makes.
};

/// Limits the retries of each service in every sliding window to a share of the first attempts,
/// plus this daemon's part of a burst that the fleet shares. First attempts count with the mean of
/// those in that window and of those in the window that begins and ends half a window earlier: a
/// retry counts for windows that begin after its first attempt, so those of one window alone do not
/// do. The larger of the two counts would not do either, because the larger counts of several
/// daemons may belong to different windows and do not add up to a limit of the fleet; means do,
/// whatever its size. A retry is allowed only if every window that will contain it stays within the
/// limit even without further first attempts. Retries that may run a request again get half of that
/// share, because the calls of a repeated run count as repeats as well. Thread-safe; the caller
/// passes the time.
class retry_budget {
 public:
  void OnFirstAttempt(const std::string& service, const retry_budget_settings& settings,
                      time_point now);

  /// Takes one retry from the budget of a service. False when none is left.
  bool TryTake(const std::string& service, const retry_budget_settings& settings, retry_kind kind,
               time_point now);

  /// Sets the number of daemons that share the fleet-wide burst equally.
  void SetDaemonCount(std::size_t count) { daemons_ = count; }

 private:
  /// Even, so that half a window is a whole number of slots. The share of the budget that rounding
  /// to slots costs is about one in this number.
  static constexpr std::int64_t kSlots = 40;

  /// Counts of one slot of the window.
  struct slot {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
    std::uint32_t repeats = 0;
  };

  /// The latest slots of a service, which hold every first attempt that counts for a window that
  /// contains the present.
  struct window {
    time_point started_at{};
    std::array<slot, kSlots * 3 / 2 + 1> slots;
  };

  /// What counts for the windows that begin within one slot and contain the present.
  struct totals {
    double first_attempts = 0;
    double retries = 0;
    double repeats = 0;
  };

  static std::int64_t SlotNumber(const retry_budget_settings& settings, time_point now);
  static slot& CurrentSlot(window& counts, const retry_budget_settings& settings, time_point now);
  static totals Count(const window& counts, std::int64_t begin, std::int64_t current);

  sharded_map<std::string, window> windows_;
  std::atomic<std::size_t> daemons_ = 1;
};

}  // namespace catkinmoor
