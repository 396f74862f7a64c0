#include "framework/pacing/link_pacer.h"

#include <algorithm>

namespace catkinmoor {
namespace {

using seconds = std::chrono::duration<double>;

constexpr std::size_t kLeastBlock = 4U << 10U;
constexpr std::size_t kMostBlock = 64U << 10U;
/// Time for which one block keeps the link busy; short against the objectives of small answers.
constexpr seconds kBlockTime{0.008};

}  // namespace

std::size_t link_pacer::BlockBytes() const {
  if (!Active()) return kMostBlock;
  const auto bytes = static_cast<std::size_t>(bytes_per_second_ * kBlockTime.count());
  return std::clamp(bytes, kLeastBlock, kMostBlock);
}

time_point link_pacer::Book(std::size_t bytes, time_point now) {
  if (!Active()) return now;
  const std::lock_guard<std::mutex> lock(mutex_);
  const time_point begin = std::max(free_at_, now);
  const seconds busy{static_cast<double>(bytes) / bytes_per_second_};
  free_at_ = begin + std::chrono::duration_cast<time_point::duration>(busy);
  return begin;
}

}  // namespace catkinmoor
