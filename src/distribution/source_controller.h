#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>

#include "distribution/record_exchange.h"
#include "store/document_source.h"

namespace catkinmoor {

/// Reads the source on behalf of a region: a small read, or one that the source holds back, tells
/// that nothing has changed. Failures lengthen the pause, with jitter, so that a platform that
/// comes back is not met by a storm.
class source_controller {
 public:
  source_controller(boost::asio::io_context& context, distribution_board board,
                    document_source& source, record_exchange& exchange, spread_strategy& strategy,
                    distribution_settings settings, std::uint64_t seed);

  /// Polls until Stop; runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  /// Brings the board up to the source's present position, and yields it.
  boost::asio::awaitable<result<std::uint64_t>> CatchUp();

 private:
  boost::asio::awaitable<result<bool>> ReadOnce(milliseconds wait);
  void Offer(std::vector<document_version> documents);
  std::int64_t Position() const;

  distribution_board board_;
  document_source& source_;
  record_exchange& exchange_;
  spread_strategy& strategy_;
  distribution_settings settings_;
  boost::asio::io_context& context_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::atomic<std::uint64_t> position_ = 0;
  std::atomic<bool> stopping_ = false;
};

}  // namespace catkinmoor
