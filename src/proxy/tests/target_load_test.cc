#include "proxy/internal/call_headers.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::target_load_report;
using catkinmoor::time_point;
using catkinmoor::proxy_internal::ParseTargetLoad;

const time_point kReceived = time_point{} + std::chrono::seconds(5);

}  // namespace

Test(target_load, with_three_or_four_figures_is_kept_with_its_time) {
  cr_assert(ParseTargetLoad("3,7,8", kReceived) ==
            (target_load_report{3, 7, 8, std::nullopt, kReceived}));
  cr_assert(ParseTargetLoad("3, 7, 8, 250", kReceived) ==
            (target_load_report{3, 7, 8, 250, kReceived}));
}

// Guards against a target's malformed figures being taken for a pace of its work.
Test(target_load, that_is_malformed_is_not_taken) {
  for (const char* text : {"", "3", "3,7", "a,7,8", "3,-7,8", "3,7,99999999999"}) {
    cr_assert(!ParseTargetLoad(text, kReceived), "%s", text);
  }
  for (const char* text : {"3,7,8,", "3,7,8,fast", "3,7,8,-1", "3,7,8,2.5"}) {
    const auto load = ParseTargetLoad(text, kReceived);
    cr_assert(load && !load->work_time_percent, "%s", text);
  }
}
