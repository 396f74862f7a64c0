#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/http/message.h"

namespace catkinmoor::http {

/// Handles one complete request.
using handler = std::function<boost::asio::awaitable<response>(request)>;

/// Size and time limits of a server. The timeout bounds the reading of a whole request, including
/// the idle time before it, and the writing of a response.
struct server_limits {
  std::uint64_t body_bytes = 1U << 20U;
  std::uint32_t header_bytes = 16U << 10U;
  milliseconds io_timeout{10'000};
};

/// HTTP/1.1 server with keep-alive for requests that fit in memory. It responds 400 to malformed
/// requests, 431 to oversized headers and 413 to oversized bodies without calling the handler.
class server {
 public:
  server(boost::asio::io_context& context, server_limits limits, handler handle_request);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Binds the address and starts to accept connections. Fails with kUnavailable if it is in use.
  result<done> Listen(const endpoint& address);

  /// Stops accepting. An open connection ends after the request in progress or, if idle, after its
  /// next request or the timeout.
  void Stop();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace catkinmoor::http
