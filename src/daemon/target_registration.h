#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "daemon/report_order.h"
#include "distribution/record_exchange.h"
#include "framework/http/message.h"
#include "proxy/gate_proxy.h"

namespace catkinmoor {

/// What a target says of itself at one moment.
struct target_report {
  endpoint where;
  target_announcement target;
  report_stamp stamp;

  friend bool operator==(const target_report&, const target_report&) = default;
};

/// What became of a report.
enum class report_outcome {
  kTaken,      ///< It holds now.
  kOutdated,   ///< A later report, or a later start, is known already.
  kWithdrawn,  ///< The daemon is stopping and takes no target.
};

/// Takes the announcements of the vm's own target. The target renews its lease; one that falls
/// silent, or says that it leaves, gets no new work. Reports may arrive late and out of order.
class target_registration {
 public:
  target_registration(boost::asio::io_context& context, self_record& self,
                      record_exchange& exchange, gate_proxy& gate, milliseconds lease);

  /// Answers the target's interface: announce, leave.
  boost::asio::awaitable<http::reply> Answer(http::request message);

  /// Takes one report. A target that leaves gets no new work from the moment this returns.
  report_outcome Announce(const target_report& report);

  /// Notes that an instance has said good-bye; nothing that this start said brings it back. Without
  /// the time of its start, every start up to now counts as departed.
  void Depart(const std::string& instance, std::uint64_t born_ms);

  /// Waits, for a bounded time, until another daemon remembers a leaving that was just taken. To be
  /// awaited before the leaving is acknowledged.
  boost::asio::awaitable<void> SettleDeparture();

  /// Takes up what other daemons remember of this vm from before the daemon restarted.
  void Recall(const member_record& past);

  /// Notes that nothing listens where an instance should; its next report brings it back.
  void NoteUnreachable(const std::string& instance);

  /// Withdraws the target for a planned stop of the daemon. Later announcements are refused.
  void Withdraw();
  void Stop();

 private:
  /// Has the other daemons remember a start that leaves.
  void StateDeparted(const std::string& instance, std::uint64_t born_ms);

  void Renew();
  void SetTarget(const endpoint& where, target_announcement target);
  void ForgetTarget(const char* reason);

  self_record& self_;
  record_exchange& exchange_;
  gate_proxy& gate_;
  milliseconds lease_;
  boost::asio::steady_timer timer_;
  std::optional<target_announcement> present_;
  endpoint where_;
  report_order order_;
  bool withdrawn_ = false;
};

/// Reads an announcement, with every fault of it.
std::variant<std::pair<endpoint, target_announcement>, json::problems> ParseAnnouncement(
    std::string_view text);

}  // namespace catkinmoor
