#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace catkinmoor {

/// A hash map split into shards, each under its own lock. Callers work on one shard at a time
/// through With, so no reference to an entry outlives its lock.
template <typename Key, typename Mapped, std::size_t kShards = 16>
class sharded_map {
 public:
  using shard_map = std::unordered_map<Key, Mapped>;

  /// Runs work on the shard that owns the key, with the shard locked.
  template <typename Work>
  auto With(const Key& key, Work&& work) {
    shard& owner = shards_[std::hash<Key>{}(key) % kShards];
    const std::lock_guard<std::mutex> lock(owner.mutex);
    return work(owner.entries);
  }

  /// Runs work on every shard in turn; the whole is not one atomic view.
  template <typename Work>
  void ForEachShard(Work&& work) {
    for (shard& each : shards_) {
      const std::lock_guard<std::mutex> lock(each.mutex);
      work(each.entries);
    }
  }

 private:
  struct shard {
    std::mutex mutex;
    shard_map entries;
  };
  std::array<shard, kShards> shards_;
};

}  // namespace catkinmoor
