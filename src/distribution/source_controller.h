#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>

#include "distribution/record_exchange.h"
#include "store/document_repository.h"

namespace catkinmoor {

/// Reads the source on behalf of a region: one small read tells that nothing has changed. Failures
/// lengthen the pause, with jitter, so that a platform that comes back is not met by a storm.
class source_controller {
 public:
  source_controller(boost::asio::io_context& context, distribution_board board,
                    document_repository& repository, record_exchange& exchange,
                    spread_strategy& strategy, distribution_settings settings, std::uint64_t seed);

  /// Polls until Stop; runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  /// Brings the board up to the source's last change. Yields the number of that change.
  boost::asio::awaitable<result<std::uint64_t>> CatchUp();

 private:
  boost::asio::awaitable<result<done>> Load(std::vector<document_change> changes);

  distribution_board board_;
  document_repository& repository_;
  record_exchange& exchange_;
  spread_strategy& strategy_;
  distribution_settings settings_;
  boost::asio::io_context& context_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::atomic<std::uint64_t> seen_change_ = 0;
  std::atomic<bool> stopping_ = false;
};

}  // namespace catkinmoor
