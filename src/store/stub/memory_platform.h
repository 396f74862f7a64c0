#pragma once

#include <functional>
#include <map>
#include <mutex>

#include "store/platform_client.h"

namespace catkinmoor {

/// What a fake platform does with one operation.
enum class platform_fault { kNone, kUnavailable, kAnswerLost, kStale };

/// An in-memory table and object store for tests and stand-ins. A fault function decides the fate
/// of each operation; a stale read answers from the state that was
/// remembered last.
class memory_platform : public platform_client {
 public:
  using fault_function = std::function<platform_fault(const std::string& operation)>;

  /// Sets the fault function; none means that nothing fails.
  void SetFaults(fault_function faults);

  /// Counts of operations so far.
  std::uint64_t Reads() const { return reads_; }
  std::uint64_t Writes() const { return writes_; }

  /// Keeps the present rows as what stale reads will see.
  void RememberForStaleReads();

  /// Replaces an object's bytes behind the back of its readers.
  void CorruptObject(const std::string& name, std::string bytes);

  boost::asio::awaitable<result<std::optional<table_row>>> Read(std::string key) override;
  boost::asio::awaitable<result<std::vector<table_row>>> Scan(row_range range) override;
  boost::asio::awaitable<result<done>> Transact(std::vector<row_write> writes) override;
  boost::asio::awaitable<result<done>> PutObject(std::string name, std::string bytes) override;
  boost::asio::awaitable<result<std::string>> GetObject(std::string name) override;

 private:
  using row_map = std::map<std::string, table_row>;

  platform_fault Fault(const std::string& operation);
  bool Apply(const std::vector<row_write>& writes);

  std::mutex mutex_;
  fault_function faults_;
  row_map rows_;
  row_map previous_;
  std::map<std::string, std::string> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace catkinmoor
