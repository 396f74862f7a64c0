#pragma once

#include <functional>
#include <map>
#include <mutex>

#include "store/platform_client.h"

namespace catkinmoor {

/// Fault injected into one operation: kUnavailable fails it without effect, kResponseLost applies a
/// write but reports it as undecided, kStaleRead lets a read see an earlier state.
enum class platform_fault { kNone, kUnavailable, kResponseLost, kStaleRead };

/// An in-memory table and object store for tests and stand-ins. A fault function selects the fault
/// of each operation; a stale read sees the rows saved by the last SnapshotForStaleReads.
class memory_platform : public platform_client {
 public:
  using fault_function = std::function<platform_fault(const std::string& operation)>;

  /// Sets the function that selects the faults; without one no operation fails.
  void SetFaultFunction(fault_function select_fault);

  /// Numbers of operations so far, failed ones included.
  std::uint64_t ReadCount() const { return reads_; }
  std::uint64_t WriteCount() const { return writes_; }

  /// Saves the current rows for later stale reads.
  void SnapshotForStaleReads();

  /// Loses all rows, as if the table had been restored from a copy made before they were written.
  void RestoreEmpty();

  /// Replaces an object's bytes under the same name, as if they had been corrupted.
  void CorruptObject(const std::string& name, std::string bytes);

  boost::asio::awaitable<result<std::optional<table_row>>> Read(std::string key) override;
  boost::asio::awaitable<result<std::vector<table_row>>> Scan(row_range range) override;
  boost::asio::awaitable<result<done>> Transact(std::vector<row_write> writes) override;
  boost::asio::awaitable<result<done>> PutObject(std::string name, std::string bytes) override;
  boost::asio::awaitable<result<std::string>> GetObject(std::string name) override;

 private:
  using row_map = std::map<std::string, table_row>;

  platform_fault FaultFor(const std::string& operation);
  bool ApplyIfCurrent(const std::vector<row_write>& writes);

  std::mutex mutex_;
  fault_function select_fault_;
  row_map rows_;
  row_map stale_rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t last_revision_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace catkinmoor
