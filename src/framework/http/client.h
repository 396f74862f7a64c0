#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "framework/base/address_translation.h"
#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/http/message.h"

namespace catkinmoor::http {

/// Sends whole requests to small services and keeps idle connections for reuse. Safe to use from
/// any thread.
class client {
 public:
  explicit client(address_translation translation = {});
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// Sends one request and waits for the whole answer. Fails with kUnavailable when the peer could
  /// not be reached, kTimeout when time ran out, kUndecided when the request was sent and the
  /// answer lost. A GET, HEAD or PUT is sent a second time when a reused connection turns out
  /// closed.
  boost::asio::awaitable<result<reply>> Send(endpoint peer, request message, milliseconds timeout);

  /// Bytes written to and read from all peers so far.
  std::uint64_t BytesCarried() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Runs one request to its end on a private io_context; for command line programs and tests.
result<reply> SendAndWait(const endpoint& peer, const request& message, milliseconds timeout);

}  // namespace catkinmoor::http
