#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "daemon/departure_log.h"
#include "daemon/stale_report_filter.h"
#include "distribution/record_exchange.h"
#include "framework/http/message.h"
#include "proxy/gate_proxy.h"

namespace catkinmoor {

/// State of a target as given by one of its reports.
struct target_report {
  endpoint address;
  target_announcement target;
  report_version version;

  friend bool operator==(const target_report&, const target_report&) = default;
};

/// Result of processing a report.
enum class report_outcome {
  kAccepted,   ///< The report is now the current state of the target.
  kStale,      ///< A later report, or a later start of the target, is already known.
  kWithdrawn,  ///< The daemon is stopping and accepts no target.
};

/// Registers the vm's own target. Each report of the target renews its lease. A target whose lease
/// expires, or that reports that it is leaving, gets no new requests. Reports may arrive late and
/// out of order.
class target_registration {
 public:
  target_registration(boost::asio::io_context& context, self_record& self,
                      record_exchange& exchange, gate_proxy& gate, departure_log& departures,
                      milliseconds lease);

  /// Handles a request of the target's registration interface.
  boost::asio::awaitable<http::response> Handle(http::request message);

  /// Processes one report. A target that is leaving gets no new requests once this returns.
  report_outcome ApplyReport(const target_report& report);

  /// Records that an instance has deregistered; no report of that start can register it again.
  /// Without a start time, all starts of the instance up to now count as departed.
  void MarkDeparted(const std::string& instance, std::uint64_t start_ms);

  /// Waits, for a bounded time, until the departures of the target are in the platform's table, or
  /// a neighbour holds them if the table does not respond. Must be awaited before a departure is
  /// acknowledged to the target.
  boost::asio::awaitable<void> AwaitDepartureRecorded();

  /// Reads the departures from before the daemon started. Until they are known, reports of the
  /// target are acknowledged and it gets no requests. `is_joined` tells whether the daemon knows
  /// what its neighbours hold, which is used if the table does not respond.
  boost::asio::awaitable<void> RestoreDepartures(std::function<bool()> is_joined);

  /// Restores a departure from the record that other daemons hold of this vm from before the daemon
  /// restarted.
  void RestoreDeparture(const member_record& past);

  /// Ends new requests to an instance that stated in a response that it is leaving. Reports from
  /// before, which may arrive late, do not make it ready again.
  void MarkLeaving(const std::string& instance);

  /// Removes an instance at whose address nothing listens; its next report registers it again.
  void MarkUnreachable(const std::string& instance);

  /// Withdraws the target for a planned stop of the daemon. Later reports are rejected.
  void Withdraw();
  void Stop();

 private:
  /// Rejects the reports of a start from now on, and publishes its departure.
  void EndStart(const std::string& instance, std::uint64_t start_ms);

  /// Publishes a departure in this daemon's own member record, which other daemons hold.
  void PublishDeparture(const departed_target& departure);

  /// Rejects the reports of a departed start, and removes the target if it is of that start.
  void RejectReportsOf(const departed_target& departure);

  /// Lets reports register the target, beginning with the one that was held back.
  void AcceptReports();

  void RenewLease();
  void SetTarget(const endpoint& address, target_announcement target);
  void RemoveTarget(const char* reason);

  self_record& self_;
  record_exchange& exchange_;
  gate_proxy& gate_;
  departure_log& departures_;
  milliseconds lease_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer restore_timer_;
  std::optional<target_announcement> target_;
  endpoint address_;
  stale_report_filter report_filter_;
  /// The latest report that arrived before the departures from before the start were known.
  std::optional<target_report> held_report_;
  bool accepts_reports_ = false;
  bool withdrawn_ = false;
};

/// Parses an announcement. Reports all problems in one pass.
std::variant<std::pair<endpoint, target_announcement>, json::problems> ParseAnnouncement(
    std::string_view text);

}  // namespace catkinmoor
