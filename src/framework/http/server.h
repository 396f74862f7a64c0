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

/// Answers one whole request.
using handler = std::function<boost::asio::awaitable<reply>(request)>;

/// Bounds of a server.
struct server_limits {
  std::uint64_t body_bytes = 1U << 20U;
  std::uint32_t header_bytes = 16U << 10U;
  milliseconds header_timeout{10'000};
};

/// Serves whole requests over HTTP/1.1 with keep-alive. Malformed requests are answered 400, an
/// oversized header 431 and an oversized body 413; the handler never sees them.
class server {
 public:
  server(boost::asio::io_context& context, server_limits limits, handler answer);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Binds and starts to accept. Fails with kUnavailable when the address is taken.
  result<done> Listen(const endpoint& where);

  /// Stops accepting and closes connections that are idle.
  void Stop();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace catkinmoor::http
