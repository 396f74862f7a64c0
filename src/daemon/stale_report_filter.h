#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace catkinmoor {

/// Determines the order of a target's reports: the start of the target that the report is about,
/// and the position of the report within that start.
struct report_version {
  /// Usually differs for every start, but a restarted target may reuse the name of an earlier
  /// start.
  std::string instance;
  /// Start time of the target in Unix milliseconds, 0 if the target does not report it.
  std::uint64_t start_ms = 0;
  /// Increases with every report of one start, 0 if the target does not report it.
  std::uint64_t sequence = 0;

  friend bool operator==(const report_version&, const report_version&) = default;
};

/// Rejects reports that were delayed in transit and are out of date. Starts of a target follow one
/// another, so once a later start is known, reports of an earlier one are always rejected.
class stale_report_filter {
 public:
  /// Whether a report is not older than the latest accepted one. If so, it becomes the latest.
  bool Accept(const report_version& report);

  /// Records that a start has departed. Later reports of it are rejected, and so are reports of
  /// earlier starts with the same instance name.
  void MarkDeparted(const std::string& instance, std::uint64_t start_ms);

  /// Whether a report is of a start that has departed.
  bool HasDeparted(const report_version& report) const;

  /// Start time of an instance if the latest report is of it, otherwise 0.
  std::uint64_t StartTimeOf(const std::string& instance) const;

 private:
  /// Number of ended starts kept, far more than can occur while a report is delayed in transit.
  static constexpr std::size_t kMaxDepartedStarts = 64;

  bool IsStale(const report_version& report) const;
  void AddDeparted(const std::string& instance, std::uint64_t start_ms);

  std::optional<report_version> latest_;
  std::deque<std::pair<std::string, std::uint64_t>> departed_starts_;
};

}  // namespace catkinmoor
