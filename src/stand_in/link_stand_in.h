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

/// Settings of a link stand-in.
struct link_settings {
  std::int64_t port_offset = 10'000;
  std::vector<std::uint16_t> forwarded_ports;
  milliseconds delay{12};
};

/// Emulates the links that lead out of one region. Listens on every loopback address at the given
/// ports plus an offset, and relays each connection to the same address and the port without the
/// offset. Every byte is delivered after the configured delay.
///
/// The control interface:
///
/// - GET /control/stats: returns counts of bytes and connections, and the state of the link.
/// - POST /control/cut: closes all connections, and new ones at once, until healed.
/// - POST /control/freeze: stops the delivery of data on all connections until healed.
/// - POST /control/silence: discards all data that arrives on the currently open connections;
///   connections opened later work.
/// - POST /control/heal: ends cut and freeze.
class link_stand_in {
 public:
  link_stand_in(boost::asio::io_context& context, link_settings settings);
  ~link_stand_in();

  /// Listens on all ports. Fails if one is in use.
  result<done> Listen();

  boost::asio::awaitable<http::response> HandleControlRequest(http::request message);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
