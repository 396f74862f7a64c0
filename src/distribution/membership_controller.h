#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>

#include "distribution/record_exchange.h"
#include "membership/failure_detector.h"

namespace catkinmoor {

/// Probes neighbours, states suspicions and deaths, and compares hashes with random members so that
/// whatever spreading missed is found.
class membership_controller {
 public:
  membership_controller(boost::asio::io_context& context, distribution_board board,
                        peer_client& peers, record_exchange& exchange,
                        distribution_settings settings, std::uint64_t seed);

  /// Probes until Stop; runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  boost::asio::awaitable<probe_reply> OnProbe(probe_request message);

 private:
  boost::asio::awaitable<void> ProbeOnce();
  boost::asio::awaitable<bool> ReachThroughHelpers(member_record member);
  boost::asio::awaitable<void> CompareWithFinger();
  boost::asio::awaitable<void> CompareWithOtherPlace();
  boost::asio::awaitable<void> ReconcileIfDifferent(member_record member, milliseconds timeout);
  void State(const std::vector<detector_verdict>& verdicts);
  probe_request MakeProbe() const;
  std::size_t Draw(std::size_t count);

  boost::asio::io_context& context_;
  distribution_board board_;
  peer_client& peers_;
  record_exchange& exchange_;
  distribution_settings settings_;
  std::mutex mutex_;
  failure_detector detector_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::atomic<bool> stopping_ = false;
};

}  // namespace catkinmoor
