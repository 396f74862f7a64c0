#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace catkinmoor {

/// Settings of the failure detector.
struct detector_settings {
  std::size_t watched_neighbours = 3;
  milliseconds suspicion_timeout{2'000};
};

/// A change of a member's state that the detector wants announced.
struct detector_verdict {
  std::string vm;
  member_version version;

  friend bool operator==(const detector_verdict&, const detector_verdict&) = default;
};

/// Decides which members to probe and how to treat failed probes, after SWIM: a member that cannot
/// be reached is suspected first, and declared dead only if it does not refute that within the
/// suspicion timeout. Every daemon watches its next few neighbours on the ring of its data centre,
/// so the load does not grow with the fleet. Uses no clock, socket or lock; its owner has to
/// serialise calls.
class failure_detector {
 public:
  failure_detector(std::string self, detector_settings settings);

  /// The member to probe next, or null when there is no other in the data centre.
  member_ptr NextToProbe(const member_view& view, const std::string& data_centre);

  /// Members that can probe `probed` on this daemon's behalf.
  std::vector<member_ptr> IndirectProbers(const member_view& view, const member_record& probed,
                                          std::size_t count) const;

  /// Ends the suspicion of a member that responded.
  void OnProbeSucceeded(const std::string& vm);

  /// Records that a member responded neither directly nor through indirect probes. Returns the
  /// verdict that it is suspected, unless it already was.
  std::vector<detector_verdict> OnProbeFailed(const member_record& member, time_point now);

  /// Records that a peer suspects a member, which starts this daemon's own suspicion timeout.
  void OnSuspected(const member_record& member, time_point now);

  /// Returns a verdict of death for each member that did not refute its suspicion in time.
  std::vector<detector_verdict> ExpireSuspicions(const member_table& table, time_point now);

 private:
  struct suspicion {
    member_version version;
    time_point since;
  };

  std::string self_;
  detector_settings settings_;
  std::size_t next_probe_ = 0;
  std::map<std::string, suspicion> suspicions_;
};

}  // namespace catkinmoor
