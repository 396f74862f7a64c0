#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "membership/member.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// Keeps the departures of the vm's target in the platform's table, so that they outlast a loss of
/// all daemons at once. Each vm has one row, with its latest departures. Used on the thread of its
/// context only.
class departure_log {
 public:
  departure_log(boost::asio::io_context& context, platform_client& platform, std::string vm);
  departure_log(const departure_log&) = delete;
  departure_log& operator=(const departure_log&) = delete;

  /// Begins to record a departure, unless this process has recorded it already. A failed write is
  /// repeated until it succeeds.
  void Add(const departed_target& departure);

  /// Waits until all departures that were added are recorded. False if they are not after `limit`.
  boost::asio::awaitable<bool> AwaitRecorded(milliseconds limit);

  /// Reads the departures that were recorded for this vm, the oldest first. Fails if the table does
  /// not respond; an entry that cannot be parsed is left out.
  boost::asio::awaitable<result<std::vector<departed_target>>> Read();

  /// Begins to record the latest departures once more, after the table was restored from a copy
  /// that may lack them. Returns their number.
  std::size_t RecordAgain();

  /// Ends repeated writes.
  void Stop();

 private:
  boost::asio::awaitable<void> RecordUntilDone();

  /// Adds the departures to the row, unless they are in it already. Fails if the row has changed
  /// since it was read, or if the table does not respond.
  boost::asio::awaitable<result<done>> Record(std::vector<departed_target> departures);

  boost::asio::io_context& context_;
  platform_client& platform_;
  std::string key_;
  std::vector<departed_target> unrecorded_;
  /// The latest departures that are known to be in the table.
  std::vector<departed_target> recorded_;
  bool recording_ = false;
  bool stopping_ = false;
  boost::asio::steady_timer retry_timer_;
  /// Cancelled whenever the unrecorded departures have been recorded.
  boost::asio::steady_timer recorded_event_;
};

}  // namespace catkinmoor
