#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "framework/base/address_translation.h"
#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/http/message.h"

namespace catkinmoor::http {

/// What the bodies of responses may take up while they are read. A peer in trouble may send bytes
/// without end.
struct client_limits {
  std::uint64_t body_bytes = 16U << 20U;
  /// For all responses that are read at a time.
  std::uint64_t total_bytes = 64U << 20U;
};

/// The limits for a process that may use an amount of memory; 0 for the default limits.
client_limits ClientLimitsOfProcess(std::int64_t memory_mb);

/// HTTP/1.1 client for requests and responses that fit in memory. Keeps idle connections for reuse.
/// Thread-safe.
class client {
 public:
  explicit client(address_translation translation = {}, client_limits limits = {});
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// Sends one request and waits for the complete response. Fails with kUnavailable if the peer
  /// cannot be reached or an idempotent request (GET, HEAD or PUT) gets no response, kTimeout if
  /// the timeout expires, kUndecided if another request was sent but its response was lost or late.
  /// An idempotent request is sent again if a reused connection turns out to be closed. If one does
  /// not respond in time, the next request uses a new connection. A response beyond the limits
  /// counts as lost.
  boost::asio::awaitable<result<response>> Send(endpoint peer, request message,
                                                milliseconds timeout);

  /// Total bytes written to and read from all peers.
  std::uint64_t BytesTransferred() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Sends one request on a private io_context and blocks until it completes; for command line
/// programs and tests.
result<response> SendBlocking(const endpoint& peer, const request& message, milliseconds timeout);

}  // namespace catkinmoor::http
