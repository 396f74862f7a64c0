#pragma once

#include <cstddef>
#include <mutex>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Shares the vm's link between long and short messages. Long ones are sent block by block at no
/// more than the link's rate, so that its queue stays short and short messages overtake them.
/// Safe for use by several threads; time comes in as an argument.
class link_pacer {
 public:
  /// A rate of zero stands for a link that needs no pacing.
  explicit link_pacer(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  bool Active() const { return bytes_per_second_ > 0; }

  /// Largest block of a long message, so that a short one waits a few milliseconds at most.
  std::size_t BlockBytes() const;

  /// Books a block of a long message. Yields when it may be sent.
  time_point Book(std::size_t bytes, time_point now);

 private:
  double bytes_per_second_;
  std::mutex mutex_;
  time_point free_at_{};
};

}  // namespace catkinmoor
