#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace catkinmoor {

/// A hash map divided into shards, each under its own lock. Callers access a shard only through a
/// callback that runs under its lock, and must not keep references to entries.
template <typename Key, typename Mapped, std::size_t kShards = 16>
class sharded_map {
 public:
  using shard_map = std::unordered_map<Key, Mapped>;

  /// Calls the callback with the shard that owns the key, under the lock of the shard, and returns
  /// its result.
  template <typename Callback>
  auto WithShard(const Key& key, Callback&& callback) {
    shard& owner = shards_[std::hash<Key>{}(key) % kShards];
    const std::lock_guard<std::mutex> lock(owner.mutex);
    return callback(owner.entries);
  }

  /// Calls the callback with each shard in turn; this is not an atomic snapshot of the whole map.
  template <typename Callback>
  void ForEachShard(Callback&& callback) {
    for (shard& each : shards_) {
      const std::lock_guard<std::mutex> lock(each.mutex);
      callback(each.entries);
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
