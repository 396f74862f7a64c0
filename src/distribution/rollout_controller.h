#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "distribution/record_exchange.h"
#include "framework/base/clock.h"
#include "rollout/conductor_lease.h"
#include "rollout/rollout_status.h"
#include "rollout/version_router.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// What a daemon knows of a rollout, for operators.
struct rollout_view {
  rollout_state state;
  milliseconds heard_ago{0};
  /// Whether this daemon conducts it; the rest is empty otherwise.
  bool conducts = false;
  std::uint64_t requests = 0;
  std::uint64_t exposed = 0;
  std::uint64_t granted = 0;
  rollout_evidence evidence;
};

/// Objects that the controller of rollouts uses.
struct rollout_dependencies {
  rollout_board& board;
  version_router& router;
  platform_client& platform;
  /// Null if operators are not told.
  rollout_status_writer* status = nullptr;
  rollout_bounds bounds;
  /// Must count suspensions.
  std::function<time_point()> now = SuspendAwareNow;
};

/// Reports this daemon's evidence on rollouts to their conductors, and conducts a rollout itself
/// when it holds the row of the table. Without an order it reads and writes nothing. Used on the
/// thread of its context only.
class rollout_controller {
 public:
  rollout_controller(boost::asio::io_context& context, distribution_dependencies deps,
                     peer_client& peers, record_exchange& exchange, rollout_dependencies rollout);

  /// Runs until Stop; does nothing if rollouts are off.
  boost::asio::awaitable<void> Run();
  void Stop();

  /// Takes over an order that this daemon read from the source, and spreads it.
  void OnOrder(const rollout_order& order, spread_range range);

  boost::asio::awaitable<rollout_report_reply> OnReport(rollout_report report);

  /// All rollouts known to this daemon.
  std::vector<rollout_view> View() const;

 private:
  /// The part of this daemon in one rollout.
  struct job {
    conductor_lease lease;
    std::unique_ptr<rollout_plan> plan;
    std::uint64_t epoch = 0;
    /// Whether a read or write of the row is in progress.
    bool busy = false;
    bool writing_status = false;
    bool reporting = false;
    time_point observed_at{};
    time_point reported_at{};
    time_point published_at{};
    time_point tried_at{};
    time_point status_tried_at{};
    time_point ended_at{};
    /// Phase in the row; nothing before the first renewal for the order.
    std::optional<rollout_phase> recorded_phase;
    std::optional<rollout_outcome> written_status;
    /// Whether the row states that the final status is written.
    bool closed = false;
    /// The last order whose end and final status this daemon has seen in the row.
    std::uint64_t finished_order = 0;
  };

  void Tick(const held_rollout& held, time_point now);
  void ReportIfDue(const held_rollout& held, job& own, time_point now);
  boost::asio::awaitable<void> SendReport(std::string service, std::string conductor);
  std::optional<std::size_t> CandidateRank(const std::string& service) const;
  bool IsGone(const std::string& vm) const;
  void ObserveIfDue(const held_rollout& held, job& own, time_point now);
  boost::asio::awaitable<void> Observe(rollout_order order);
  void Conduct(const held_rollout& held, job& own, time_point now);
  boost::asio::awaitable<void> Renew(std::string service, std::uint64_t order);
  boost::asio::awaitable<void> WriteStatus(rollout_order order, rollout_outcome outcome);
  void Publish(job& own, time_point now);
  void StopConducting(const std::string& service, job& own, const char* cause);
  rollout_fleet Fleet(const rollout_order& order) const;
  void LogPhase(const job& own) const;
  boost::asio::awaitable<result<std::optional<conductor_row>>> ReadRow(std::string service);
  boost::asio::awaitable<result<done>> WriteRow(conductor_row row);

  boost::asio::io_context& context_;
  distribution_dependencies deps_;
  peer_client& peers_;
  record_exchange& exchange_;
  rollout_dependencies rollout_;
  boost::asio::steady_timer timer_;
  std::map<std::string, job> jobs_;
  bool stopping_ = false;
};

/// The value of a conductor's row, and back; nothing if it cannot be parsed.
std::string SerializeConductorRow(const conductor_row& row);
std::optional<conductor_row> ParseConductorRow(std::string_view value);

}  // namespace catkinmoor
