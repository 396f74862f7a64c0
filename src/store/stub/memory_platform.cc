#include "store/stub/memory_platform.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

error Unavailable(const std::string& step) {
  return {error_kind::kUnavailable, step, "platform", "the platform is down"};
}

error ResponseLost(const std::string& step) {
  return {error_kind::kUndecided, step, "platform", "the response was lost"};
}

/// Lets other users of the platform run, as they would during a network round trip.
asio::awaitable<void> YieldToOthers() {
  co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
}

}  // namespace

void memory_platform::SetFaultFunction(fault_function select_fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  select_fault_ = std::move(select_fault);
}

void memory_platform::SnapshotForStaleReads() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stale_rows_ = rows_;
}

void memory_platform::RestoreEmpty() {
  const std::lock_guard<std::mutex> lock(mutex_);
  rows_.clear();
}

void memory_platform::CorruptObject(const std::string& name, std::string bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  objects_[name] = std::move(bytes);
}

platform_fault memory_platform::FaultFor(const std::string& operation) {
  return select_fault_ ? select_fault_(operation) : platform_fault::kNone;
}

asio::awaitable<result<std::optional<table_row>>> memory_platform::Read(std::string key) {
  co_await YieldToOthers();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++reads_;
  const platform_fault fault = FaultFor("read");
  if (fault == platform_fault::kUnavailable || fault == platform_fault::kResponseLost) {
    co_return Unavailable("read row");
  }
  const row_map& rows = fault == platform_fault::kStaleRead ? stale_rows_ : rows_;
  const auto found = rows.find(key);
  if (found == rows.end()) co_return std::nullopt;
  co_return found->second;
}

asio::awaitable<result<std::vector<table_row>>> memory_platform::Scan(row_range range) {
  co_await YieldToOthers();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++reads_;
  const platform_fault fault = FaultFor("scan");
  if (fault == platform_fault::kUnavailable || fault == platform_fault::kResponseLost) {
    co_return Unavailable("scan rows");
  }
  const row_map& rows = fault == platform_fault::kStaleRead ? stale_rows_ : rows_;
  std::vector<table_row> matches;
  auto next = rows.lower_bound(range.prefix);
  for (; next != rows.end() && matches.size() < range.limit; ++next) {
    if (next->first.compare(0, range.prefix.size(), range.prefix) != 0) break;
    if (next->first > range.after) matches.push_back(next->second);
  }
  co_return matches;
}

asio::awaitable<result<done>> memory_platform::Transact(std::vector<row_write> writes) {
  co_await YieldToOthers();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++writes_;
  const platform_fault fault = FaultFor("transact");
  if (fault == platform_fault::kUnavailable) co_return Unavailable("transact");
  const bool applied = ApplyIfCurrent(writes);
  if (fault == platform_fault::kResponseLost) co_return ResponseLost("transact");
  if (!applied) {
    co_return error{error_kind::kConflict, "transact", "platform", "revision mismatch"};
  }
  co_return done{};
}

asio::awaitable<result<done>> memory_platform::PutObject(std::string name, std::string bytes) {
  co_await YieldToOthers();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++writes_;
  const platform_fault fault = FaultFor("put object");
  if (fault == platform_fault::kUnavailable) co_return Unavailable("put object");
  objects_[name] = std::move(bytes);
  if (fault == platform_fault::kResponseLost) co_return ResponseLost("put object");
  co_return done{};
}

asio::awaitable<result<std::string>> memory_platform::GetObject(std::string name) {
  co_await YieldToOthers();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++reads_;
  if (FaultFor("get object") == platform_fault::kUnavailable) co_return Unavailable("get object");
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    co_return error{error_kind::kNotFound, "get object", "platform", "no object " + name};
  }
  co_return found->second;
}

bool memory_platform::ApplyIfCurrent(const std::vector<row_write>& writes) {
  for (const row_write& each : writes) {
    if (!each.expected_revision) continue;
    const auto found = rows_.find(each.key);
    const std::uint64_t current = found == rows_.end() ? 0 : found->second.revision;
    if (current != *each.expected_revision) return false;
  }
  ++last_revision_;
  for (const row_write& each : writes) rows_[each.key] = {each.key, each.value, last_revision_};
  return true;
}

}  // namespace catkinmoor
