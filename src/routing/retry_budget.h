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

/// Limits the retries of each service to a share of the first attempts within the same sliding
/// window, plus this daemon's part of a burst that the fleet shares. Retries that may run a request
/// again get half of that share, because the calls of a repeated run count as repeats as well.
/// Limits that hold in each daemon add up to the same limit for the fleet, whatever its size.
/// Thread-safe; the caller passes the time.
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
  static constexpr std::size_t kSlots = 10;

  /// Counts of one tenth of the window.
  struct slot {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
    std::uint32_t repeats = 0;
  };

  /// The latest slots of a service. One more than the window has is kept, so that the retries of a
  /// whole window are counted even when the current slot has just begun.
  struct window {
    time_point started_at{};
    std::array<slot, kSlots + 1> slots;
  };

  struct totals {
    double first_attempts = 0;
    double retries = 0;
    double repeats = 0;
  };

  static std::int64_t SlotNumber(const retry_budget_settings& settings, time_point now);
  static slot& CurrentSlot(window& counts, const retry_budget_settings& settings, time_point now);
  static totals Count(const window& counts, std::int64_t current);

  sharded_map<std::string, window> windows_;
  std::atomic<std::size_t> daemons_ = 1;
};

}  // namespace catkinmoor
