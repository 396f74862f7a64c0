#include "framework/pacing/link_pacer.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::link_pacer;
using catkinmoor::milliseconds;
using catkinmoor::time_point;

constexpr double kBytesPerSecond = 1'000'000;
constexpr time_point kStart = time_point{} + milliseconds(1'000);

}  // namespace

Test(link_pacer, without_a_rate_never_waits) {
  link_pacer pacer(0);
  cr_assert(!pacer.Enabled());
  cr_assert(pacer.Reserve(100U << 20U, kStart) == kStart);
  cr_assert(pacer.Reserve(1, kStart) == kStart);
}

Test(link_pacer, for_blocks_of_several_messages_keeps_the_rate) {
  link_pacer pacer(kBytesPerSecond);
  time_point last_start = kStart;
  for (int i = 0; i < 100; ++i) last_start = pacer.Reserve(10'000, kStart);
  cr_assert(last_start == kStart + milliseconds(990));
}

Test(link_pacer, after_an_idle_period_has_no_credit) {
  link_pacer pacer(kBytesPerSecond);
  pacer.Reserve(10'000, kStart);
  const time_point later = kStart + milliseconds(500);
  cr_assert(pacer.Reserve(10'000, later) == later);
  cr_assert(pacer.Reserve(10'000, later) == later + milliseconds(10));
}

Test(link_pacer, for_slow_and_fast_links_bounds_the_block_size) {
  cr_assert(link_pacer(kBytesPerSecond).MaxBlockBytes() == 8'000);
  cr_assert(link_pacer(100'000).MaxBlockBytes() == 4U << 10U);
  cr_assert(link_pacer(1'000'000'000).MaxBlockBytes() == 64U << 10U);
}
