#pragma once

#include <cstdint>
#include <functional>
#include <mutex>

namespace catkinmoor {

/// The era of the platform's store. It rises each time that the store is restored from an older
/// copy: what it acknowledged after that copy is lost, and its versions are assigned again.
/// Thread-safe.
class store_era {
 public:
  /// Called with the era before and the new one, on the thread that observed it.
  using listener = std::function<void(std::uint64_t previous, std::uint64_t current)>;

  void SetListener(listener on_rise);

  /// Records an era that the store or a peer stated; 0 if it stated none. True if it is higher than
  /// the one known before. The first era that is observed is no rise.
  bool Observe(std::uint64_t stated);

  /// The highest era observed; 0 if none was.
  std::uint64_t Current() const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t current_ = 0;
  listener on_rise_;
};

}  // namespace catkinmoor
