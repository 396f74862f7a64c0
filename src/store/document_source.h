#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <vector>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/result.h"

namespace catkinmoor {

/// What a source held beyond a position, and the position reached by it. Positions only rise.
struct source_update {
  std::uint64_t position = 0;
  std::vector<document_version> documents;

  friend bool operator==(const source_update&, const source_update&) = default;
};

/// Where accepted documents come from.
class document_source {
 public:
  virtual ~document_source() = default;

  /// The newest versions accepted after a position; position 0 asks for everything. A source that
  /// can hold a call back answers at the first news, or after the wait with none; one that cannot
  /// answers at once.
  virtual boost::asio::awaitable<result<source_update>> Await(std::uint64_t position,
                                                              milliseconds wait) = 0;

  /// Whether a call is held back until there is news, so that there need be no pause between two.
  virtual bool HoldsCalls() const = 0;
};

}  // namespace catkinmoor
