#include <rapidcheck.h>

#include "daemon/stop_schedule.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::milliseconds;
using catkinmoor::PlanStop;
using catkinmoor::stop_schedule;

}  // namespace

// A stop must leave time to answer the requests that it still holds, however short it is.
Test(stop_schedule, of_any_notice_and_timeout_answers_requests_before_its_end) {
  cr_assert(rc::check([] {
    const milliseconds notice(*rc::gen::inRange(0, 30'000));
    const milliseconds timeout(*rc::gen::inRange(40, 60'000));
    const stop_schedule plan = PlanStop(notice, timeout);
    RC_ASSERT(plan.withdraw >= milliseconds(0));
    RC_ASSERT(plan.withdraw <= plan.drain);
    RC_ASSERT(plan.drain < plan.end_attempts);
    RC_ASSERT(plan.end_attempts <= plan.leave);
    RC_ASSERT(plan.end_attempts < plan.target_deadline);
    RC_ASSERT(plan.target_deadline < plan.end_waits);
    RC_ASSERT(plan.end_waits < plan.end);
    RC_ASSERT(plan.end == notice + timeout);
  }));
}

Test(stop_schedule, without_any_time_ends_at_once) {
  cr_assert(PlanStop(milliseconds(0), milliseconds(0)) == stop_schedule{});
}
