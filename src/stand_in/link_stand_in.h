#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/result.h"
#include "framework/http/message.h"

namespace catkinmoor {

/// What a link stand-in is told at its start.
struct link_settings {
  std::int64_t port_offset = 10'000;
  std::vector<std::uint16_t> ports;
  milliseconds delay{12};
};

/// Stands for the links that lead out of one region. It listens on every loopback address at the
/// ports given plus an offset, and carries each connection to the same address without the offset,
/// every byte one delay later. Its control interface counts bytes, cuts the link, freezes it, or
/// silences the connections that are open now while new ones work: GET /control/stats, POST
/// /control/cut, /control/freeze, /control/silence, /control/heal.
class link_stand_in {
 public:
  link_stand_in(boost::asio::io_context& context, link_settings settings);
  ~link_stand_in();

  /// Binds all ports. Fails when one is taken.
  result<done> Listen();

  boost::asio::awaitable<http::reply> Control(http::request message);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
