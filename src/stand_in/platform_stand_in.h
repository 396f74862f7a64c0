#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <random>

#include "framework/base/clock.h"
#include "framework/http/message.h"
#include "store/stub/memory_platform.h"

namespace catkinmoor {

/// Faults of the platform stand-in, as its control interface sets them. Shares lie between 0 and 1.
struct platform_faults {
  bool down = false;
  bool stale = false;
  milliseconds delay{0};
  double lost_answers = 0;
  double refused = 0;
  std::uint64_t seed = 1;
};

/// Serves an in-memory table and object store over HTTP, with outages, slowness, lost answers and
/// answers from the past on demand. GET /control/stats counts operations; POST /control/faults sets
/// the faults.
class platform_stand_in {
 public:
  explicit platform_stand_in(boost::asio::io_context& context);

  boost::asio::awaitable<http::reply> Answer(http::request message);

 private:
  boost::asio::awaitable<http::reply> Serve(const http::request& message);
  http::reply Control(const http::request& message);
  platform_fault Draw(const std::string& operation);

  boost::asio::io_context& context_;
  memory_platform store_;
  platform_faults faults_;
  std::mt19937_64 random_;
};

}  // namespace catkinmoor
