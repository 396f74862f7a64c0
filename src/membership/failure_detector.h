#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace catkinmoor {

/// Times of the failure detector.
struct detector_settings {
  std::size_t watched = 3;
  milliseconds suspicion{2'000};
};

/// A statement that the detector wants spread.
struct detector_verdict {
  std::string vm;
  member_version about;

  friend bool operator==(const detector_verdict&, const detector_verdict&) = default;
};

/// Decides which members to probe and what failed probes mean, after SWIM: a member that cannot be
/// reached is suspected first, and declared dead only when it has not refuted that in time. Every
/// daemon watches its next few neighbours on the ring of its data centre, so the load does not grow
/// with the fleet. Holds no clock, socket or lock; one controller owns it.
class failure_detector {
 public:
  failure_detector(std::string self, detector_settings settings);

  /// The member to probe now, or null when this daemon is alone.
  member_ptr NextToProbe(const member_view& view, const std::string& data_centre);

  /// Members that can probe another on this daemon's behalf.
  std::vector<member_ptr> Helpers(const member_view& view, const member_record& probed,
                                  std::size_t count) const;

  /// Notes an answer from a member.
  void OnAnswer(const std::string& vm);

  /// Notes that a member answered neither directly nor through helpers. Yields the statement that
  /// it is suspected, unless that was said before.
  std::vector<detector_verdict> OnNoAnswer(const member_record& member, time_point now);

  /// Notes that some peer suspects a member, which starts this daemon's own count-down.
  void OnSuspected(const member_record& member, time_point now);

  /// Yields a death for each member whose suspicion ran out without being refuted.
  std::vector<detector_verdict> Expire(const member_table& table, time_point now);

 private:
  struct suspicion {
    member_version about;
    time_point since;
  };

  std::string self_;
  detector_settings settings_;
  std::size_t turn_ = 0;
  std::map<std::string, suspicion> suspicions_;
};

}  // namespace catkinmoor
