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

/// Probes neighbours, announces suspected and dead members, and compares hashes with random members
/// to find and repair whatever spreading missed (anti-entropy).
class membership_controller {
 public:
  membership_controller(boost::asio::io_context& context, distribution_dependencies deps,
                        peer_client& peers, record_exchange& exchange,
                        distribution_settings settings, std::uint64_t seed);

  /// Probes until Stop; runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  boost::asio::awaitable<probe_reply> OnProbe(probe_request message);

 private:
  boost::asio::awaitable<void> ProbeOnce();
  boost::asio::awaitable<bool> ProbeIndirectly(member_record member);

  /// Compares with a member at a random power-of-two distance on the ring.
  boost::asio::awaitable<void> CompareWithRingFinger();

  /// Compares with a random relay of another data centre, if this daemon is a relay of its own.
  boost::asio::awaitable<void> CompareWithOtherDataCentre();

  boost::asio::awaitable<void> ReconcileIfDifferent(member_record member, milliseconds timeout);
  void AnnounceVerdicts(const std::vector<detector_verdict>& verdicts);
  probe_request MakeProbe(const std::string& recipient) const;
  std::size_t RandomIndex(std::size_t count);

  boost::asio::io_context& context_;
  distribution_dependencies deps_;
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
