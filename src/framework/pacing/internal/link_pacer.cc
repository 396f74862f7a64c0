#include "framework/pacing/link_pacer.h"

#include <algorithm>

namespace catkinmoor {
namespace {

using seconds = std::chrono::duration<double>;

constexpr std::size_t kMinBlockBytes = 4U << 10U;
constexpr std::size_t kMaxBlockBytes = 64U << 10U;
/// Time for which one block occupies the link; short compared with the latency objectives of small
/// responses.
constexpr seconds kBlockDuration{0.008};

}  // namespace

std::size_t link_pacer::MaxBlockBytes() const {
  if (!Enabled()) return kMaxBlockBytes;
  const auto bytes = static_cast<std::size_t>(bytes_per_second_ * kBlockDuration.count());
  return std::clamp(bytes, kMinBlockBytes, kMaxBlockBytes);
}

time_point link_pacer::Reserve(std::size_t bytes, time_point now) {
  if (!Enabled()) return now;
  const std::lock_guard<std::mutex> lock(mutex_);
  const time_point begin = std::max(free_at_, now);
  const seconds transmission{static_cast<double>(bytes) / bytes_per_second_};
  free_at_ = begin + std::chrono::duration_cast<time_point::duration>(transmission);
  return begin;
}

}  // namespace catkinmoor
