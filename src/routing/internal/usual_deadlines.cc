#include "routing/usual_deadlines.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// Weight that an earlier request keeps at each new one; about the last 200 count.
constexpr double kMemory = 0.995;
/// Share of the requests that state a time for it to be usual. What callers that come back state is
/// spread over many values, and a first time is stated by a third of all requests at least, as
/// callers come back a few times.
constexpr double kUsualShare = 0.15;
constexpr std::size_t kValues = 16;

}  // namespace

void usual_deadlines::Note(tally& to, milliseconds stated) {
  for (auto& [value, count] : to.counts) count *= kMemory;
  to.total = to.total * kMemory + 1;
  to.counts[stated] += 1;
  if (to.counts.size() <= kValues) return;
  to.counts.erase(std::min_element(
      to.counts.begin(), to.counts.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; }));
}

milliseconds usual_deadlines::AgeOf(const std::string& route, milliseconds stated) {
  return tallies_.With(route, [&](auto& entries) {
    tally& known = entries[route];
    Note(known, stated);
    for (auto each = known.counts.lower_bound(stated); each != known.counts.end(); ++each) {
      if (each->second >= kUsualShare * known.total) return each->first - stated;
    }
    return milliseconds(0);
  });
}

}  // namespace catkinmoor
