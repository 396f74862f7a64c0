#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace catkinmoor {

/// What places a target's report among others: which start it speaks of, and how late in its life.
struct report_stamp {
  /// Differs for every start, but a start may keep that of an earlier one.
  std::string instance;
  /// Unix milliseconds of the target's start, 0 when it does not say.
  std::uint64_t born_ms = 0;
  /// Rises with every report of one start, 0 when it does not say.
  std::uint64_t sequence = 0;

  friend bool operator==(const report_stamp&, const report_stamp&) = default;
};

/// Tells reports that may be believed from those that were held up on the way. Starts of a target
/// follow each other in time; a report of an earlier one never counts again.
class report_order {
 public:
  /// Whether a report is newer than all that is known. If so, it becomes what is known.
  bool Take(const report_stamp& report);

  /// Notes that a start has said good-bye; no later report of it counts, nor of starts before it
  /// under the same name.
  void Depart(const std::string& instance, std::uint64_t born_ms);

  /// When a start under a name was born as far as is known, 0 otherwise.
  std::uint64_t BornOf(const std::string& instance) const;

 private:
  /// Departed starts that are remembered; far more than follow each other in the time that a report
  /// can be held up.
  static constexpr std::size_t kRemembered = 64;

  bool IsOutdated(const report_stamp& report) const;
  void Remember(const std::string& instance, std::uint64_t born_ms);

  std::optional<report_stamp> last_;
  std::deque<std::pair<std::string, std::uint64_t>> departed_;
};

}  // namespace catkinmoor
