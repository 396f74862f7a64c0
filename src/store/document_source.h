#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <vector>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/result.h"
#include "rollout/rollout_state.h"

namespace catkinmoor {

/// Something that the source has accepted and that could not be read. It is newer than what was
/// read of the same kind before, so the state held is known to be out of date.
struct unusable_entry {
  /// Name of the document, or of the row if it holds no document.
  std::string name;
  bool is_document = true;
  std::string reason;

  friend bool operator==(const unusable_entry&, const unusable_entry&) = default;
};

/// The documents that a source returned beyond a position, and the position that it has reached
/// with them. Positions only increase, unless the source has restarted.
struct source_update {
  std::uint64_t position = 0;
  std::vector<document_version> documents;
  /// Whether the source was restored from an older copy since the last update. Its positions begin
  /// anew, and the documents are all that it has.
  bool restarted = false;
  /// The newest order of each rollout that the source returned.
  std::vector<rollout_order> orders = {};
  std::vector<unusable_entry> unusable = {};

  friend bool operator==(const source_update&, const source_update&) = default;
};

/// Provides the accepted documents to a daemon.
class document_source {
 public:
  virtual ~document_source() = default;

  /// The newest versions accepted after a position; position 0 requests all documents. A source
  /// with long polling responds at the first update, or without one when the wait is over; any
  /// other responds at once and ignores the wait.
  virtual boost::asio::awaitable<result<source_update>> FetchUpdate(std::uint64_t position,
                                                                    milliseconds wait) = 0;

  /// Whether FetchUpdate is a long poll, so that the caller needs no pause between two calls.
  virtual bool SupportsLongPolling() const = 0;
};

}  // namespace catkinmoor
