#include "store/store_era.h"

namespace catkinmoor {

void store_era::SetListener(listener on_rise) {
  const std::lock_guard<std::mutex> lock(mutex_);
  on_rise_ = std::move(on_rise);
}

bool store_era::Observe(std::uint64_t stated) {
  listener notify;
  std::uint64_t previous = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stated <= current_) return false;
    previous = current_;
    current_ = stated;
    if (previous == 0) return false;
    notify = on_rise_;
  }
  if (notify) notify(previous, stated);
  return true;
}

std::uint64_t store_era::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

}  // namespace catkinmoor
