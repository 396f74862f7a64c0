#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/result.h"

namespace catkinmoor {

/// A row of the platform's table. The revision changes with every write of the row.
struct table_row {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;

  friend bool operator==(const table_row&, const table_row&) = default;
};

/// One write of a transaction. With an expected revision the whole transaction takes effect only if
/// the row still has it; revision 0 means that the row must not exist.
struct row_write {
  std::string key;
  std::string value;
  std::optional<std::uint64_t> expected_revision;

  friend bool operator==(const row_write&, const row_write&) = default;
};

/// The range of a scan: at most `limit` keys that start with the prefix and sort after the key
/// `after`, in ascending order.
struct row_range {
  std::string prefix;
  std::string after;
  std::size_t limit = 500;
};

/// The platform's transactional table and its object store. Operations fail with kUnavailable or
/// kTimeout when a read failed or a write certainly had no effect, kUndecided when a write may have
/// taken effect, and kConflict when a row did not have its expected revision.
class platform_client {
 public:
  virtual ~platform_client() = default;

  virtual boost::asio::awaitable<result<std::optional<table_row>>> Read(std::string key) = 0;
  virtual boost::asio::awaitable<result<std::vector<table_row>>> Scan(row_range range) = 0;
  virtual boost::asio::awaitable<result<done>> Transact(std::vector<row_write> writes) = 0;
  virtual boost::asio::awaitable<result<done>> PutObject(std::string name, std::string bytes) = 0;
  virtual boost::asio::awaitable<result<std::string>> GetObject(std::string name) = 0;
};

}  // namespace catkinmoor
