#pragma once

#include <cstddef>
#include <mutex>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Paces large messages on the network link of the vm. They are sent in blocks, at no more than the
/// link's rate, so that the link's queue stays short and small messages need not wait behind them.
/// Thread-safe; the current time is passed in.
class link_pacer {
 public:
  /// A rate of zero disables pacing.
  explicit link_pacer(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  bool Enabled() const { return bytes_per_second_ > 0; }

  /// Maximum block size of a large message, chosen so that one block delays a small message by a
  /// few milliseconds at most.
  std::size_t MaxBlockBytes() const;

  /// Reserves link time for a block of a large message. Returns the time at which it may be sent.
  time_point Reserve(std::size_t bytes, time_point now);

 private:
  double bytes_per_second_;
  std::mutex mutex_;
  time_point free_at_{};
};

}  // namespace catkinmoor
