#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"

namespace catkinmoor {

/// Tells how long ago a caller asked first. Callers state how long they will still wait: those that
/// ask for the first time state one of a few usual times, and those that come back state what is
/// left of it. Holds no clock.
class usual_deadlines {
 public:
  /// Notes what a caller of a route stated. Yields the time since it asked first, as far as that can
  /// be told; zero for a caller that states a usual time or more.
  milliseconds AgeOf(const std::string& route, milliseconds stated);

 private:
  struct tally {
    std::map<milliseconds, double> counts;
    double total = 0;
  };

  static void Note(tally& to, milliseconds stated);

  sharded_map<std::string, tally> tallies_;
};

}  // namespace catkinmoor
