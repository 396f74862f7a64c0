#pragma once

#include "framework/base/clock.h"

namespace catkinmoor {

/// Bound on the requests of a workspace that targets run, over all daemons: in any sliding window
/// at most (rate x window + burst) x (1 + overage) + slack.
struct quota_settings {
  /// 0 switches quotas off.
  milliseconds window{0};
  double overage = 0.1;
  double slack = 20;

  bool Enabled() const { return window.count() > 0; }

  friend bool operator==(const quota_settings&, const quota_settings&) = default;
};

/// Time for which a holder uses a permit, from the moment at which it asked for it.
inline constexpr milliseconds kPermitValidity{2'500};

/// Time after the answer for which the authority counts a permit as outstanding unless it is
/// settled. Beyond the validity, which it counts from a later moment than the holder, it leaves
/// time for the requests that took their permit last to reach a target.
inline constexpr milliseconds kPermitVoidAfter = kPermitValidity + milliseconds(2'000);

/// Largest share of a workspace's capacity that may be outstanding. The rest is what a successor,
/// which does not know the outstanding permits of its predecessor, may grant before they are void.
inline constexpr double kMaxOutstandingShare = 0.7;

}  // namespace catkinmoor
