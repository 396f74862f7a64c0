#include "daemon/stop_schedule.h"

#include <algorithm>

namespace catkinmoor {
namespace {

/// Time for other daemons to learn that a target leaves before its gate refuses requests.
constexpr milliseconds kWithdrawalLead{400};
/// Time to query the gates that hold requests, and to answer those that were not begun.
constexpr milliseconds kMaxFenceLead{500};
/// Time for the last responses to reach the callers.
constexpr milliseconds kMaxDeliveryTime{200};

}  // namespace

stop_schedule PlanStop(milliseconds notice_period, milliseconds drain_timeout) {
  const milliseconds end = notice_period + drain_timeout;
  const milliseconds delivery_time = std::min(kMaxDeliveryTime, drain_timeout / 8);
  return {.withdraw = notice_period - std::min(kWithdrawalLead, notice_period),
          .drain = notice_period,
          .end_attempts = end - std::min(kMaxFenceLead, drain_timeout / 4),
          .leave = end - std::min(kLeaveSpreadTime, drain_timeout / 4),
          .target_deadline = end - delivery_time,
          .end_waits = end - delivery_time / 2,
          .end = end};
}

}  // namespace catkinmoor
