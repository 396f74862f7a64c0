#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// A report about requests of one fingerprint: a target crashed while it ran one, or, with released
/// set, earlier reports no longer count.
struct crash_report {
  std::string fingerprint;
  std::string reporter;
  std::uint64_t sequence = 0;
  bool released = false;

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// A quarantined fingerprint.
struct quarantine_entry {
  std::string fingerprint;
  std::uint64_t crashes = 0;

  friend bool operator==(const quarantine_entry&, const quarantine_entry&) = default;
};

/// Records of requests that crash targets, by fingerprint. After kCrashThreshold crashes without a
/// response in between, requests of the fingerprint are refused until an operator releases them or
/// kRetention has passed since the last report.
class quarantine_board {
 public:
  static constexpr std::size_t kCrashThreshold = 2;
  static constexpr milliseconds kRetention{600'000};

  /// Records a report. False when it was already known.
  bool Record(const crash_report& report, time_point now);

  /// Records that a request of a fingerprint got its response, which resets the count of crashes
  /// unless the fingerprint is quarantined. True when there were crashes to reset.
  bool OnResponse(const std::string& fingerprint);

  bool IsQuarantined(const std::string& fingerprint, time_point now);

  /// All quarantined fingerprints.
  std::vector<quarantine_entry> Quarantined(time_point now);

  /// Removes fingerprints whose last report is older than kRetention.
  void Expire(time_point now);

 private:
  struct entry {
    std::set<std::pair<std::string, std::uint64_t>> reports;
    std::size_t crashes = 0;
    time_point last_report_at{};
  };
  sharded_map<std::string, entry> entries_;
};

/// A hash of a request, which is equal when the same request is sent again.
std::string RequestFingerprint(const std::string& service, const std::string& method,
                               const std::string& target, const std::string& body);

}  // namespace catkinmoor
