#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <random>

#include "framework/base/clock.h"
#include "framework/http/message.h"
#include "store/stub/memory_platform.h"

namespace catkinmoor {

/// Faults that the platform stand-in injects, as set through its control interface. Ratios lie
/// between 0 and 1.
struct platform_faults {
  bool down = false;
  bool stale = false;
  milliseconds delay{0};
  double lost_response_ratio = 0;
  double failure_ratio = 0;
  std::uint64_t seed = 1;
};

/// Serves an in-memory table and object store over HTTP, and injects outages, delays, lost
/// responses and stale reads on request. GET /control/stats returns counts of operations, POST
/// /control/faults sets the faults, and POST /control/object replaces the bytes of a stored object.
class platform_stand_in {
 public:
  explicit platform_stand_in(boost::asio::io_context& context);

  boost::asio::awaitable<http::response> HandleRequest(http::request message);

 private:
  boost::asio::awaitable<http::response> Serve(const http::request& message);
  http::response HandleControlRequest(const http::request& message);
  platform_fault DrawFault(const std::string& operation);

  boost::asio::io_context& context_;
  memory_platform store_;
  platform_faults faults_;
  std::mt19937_64 random_;
};

}  // namespace catkinmoor
