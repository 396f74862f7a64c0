#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "distribution/record_exchange.h"
#include "framework/http/message.h"
#include "proxy/gate_proxy.h"

namespace catkinmoor {

/// Takes the announcements of the vm's own target. The target renews its lease; one that falls
/// silent, or says that it leaves, gets no new work.
class target_registration {
 public:
  target_registration(boost::asio::io_context& context, self_record& self,
                      record_exchange& exchange, gate_proxy& gate, milliseconds lease);

  /// Answers the target's interface: announce, leave.
  boost::asio::awaitable<http::reply> Answer(http::request message);

  /// Withdraws the target for a planned stop of the daemon. Later announcements are refused.
  void Withdraw();
  void Stop();

 private:
  void Renew();
  void SetTarget(const endpoint& where, target_announcement target);
  void ForgetTarget();

  self_record& self_;
  record_exchange& exchange_;
  gate_proxy& gate_;
  milliseconds lease_;
  boost::asio::steady_timer timer_;
  std::optional<target_announcement> present_;
  endpoint where_;
  bool withdrawn_ = false;
};

/// Reads an announcement, with every fault of it.
std::variant<std::pair<endpoint, target_announcement>, json::problems> ParseAnnouncement(
    std::string_view text);

}  // namespace catkinmoor
