#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// A statement about requests of one fingerprint: a target crashed while it ran one, or (with
/// released) earlier statements no longer count.
struct crash_report {
  std::string fingerprint;
  std::string reporter;
  std::uint64_t number = 0;
  bool released = false;

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// A fingerprint that is refused.
struct quarantine_entry {
  std::string fingerprint;
  std::uint64_t crashes = 0;

  friend bool operator==(const quarantine_entry&, const quarantine_entry&) = default;
};

/// The blackboard entry for requests that crash targets. After so many crashes without a success in
/// between, requests of a fingerprint are refused until an operator releases them or they are
/// forgotten with age.
class quarantine_board {
 public:
  static constexpr std::size_t kCrashes = 2;
  static constexpr milliseconds kRetention{600'000};

  /// Takes a report. False when it was known already.
  bool Note(const crash_report& report, time_point now);

  /// Notes that a request of a fingerprint was answered, which clears it unless it is refused
  /// already. True when there was something to clear.
  bool OnSuccess(const std::string& fingerprint);

  /// Whether requests of a fingerprint are refused.
  bool IsQuarantined(const std::string& fingerprint, time_point now);

  /// All fingerprints that are refused.
  std::vector<quarantine_entry> All(time_point now);

  /// Forgets fingerprints whose last report is too old.
  void Expire(time_point now);

 private:
  struct entry {
    std::set<std::pair<std::string, std::uint64_t>> seen;
    std::size_t crashes = 0;
    time_point last{};
  };
  sharded_map<std::string, entry> entries_;
};

/// The fingerprint of a request: equal for a request that is sent again.
std::string Fingerprint(const std::string& service, const std::string& method,
                        const std::string& target, const std::string& body);

}  // namespace catkinmoor
