#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <random>

#include "distribution/record_exchange.h"
#include "store/document_source.h"

namespace catkinmoor {

/// Polls the source on behalf of a region, or for its own data centre while no reader is heard to
/// read it. A poll without changes is a small read, or a long poll
/// if the source supports it. After a failure the next poll is delayed longer, with jitter, so that
/// a platform that recovers is not overloaded by all daemons at once.
///
/// A version that the source has accepted and that this daemon cannot take over leaves its
/// documents out of date. Until the version or a newer one is taken over, the position stays in
/// front of it, the documents are neither confirmed to others nor taken for a proof about keys, and
/// the version is read again from time to time. Polls go on behind it, so that a newer one is not
/// delayed.
class source_controller {
 public:
  source_controller(boost::asio::io_context& context, distribution_dependencies deps,
                    document_source& source, record_exchange& exchange, spread_strategy& strategy,
                    distribution_settings settings, std::uint64_t seed);

  using order_listener = std::function<void(const rollout_order& order, spread_range range)>;

  /// Sets a listener for orders of rollouts that the source returned.
  void SetOrderListener(order_listener listener) { on_order_ = std::move(listener); }

  /// Polls until Stop; runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  /// Reads until no change is left, and returns the position reached in the source.
  boost::asio::awaitable<result<std::uint64_t>> CatchUp();

 private:
  /// Why this daemon reads the source.
  enum class reading_role {
    kNone,        ///< Other daemons read it.
    kSelected,    ///< The strategy selected this daemon.
    kSubstitute,  ///< No other daemon is known to read it at present.
  };

  reading_role CurrentRole() const;

  /// When this daemon has to read the source for a proof about keys, as no other is heard to.
  boot_time_point ProofReadDue() const;

  /// Delay after a failed read by a daemon that is not one of the readers.
  milliseconds SubstituteRetryDelay() const;
  boost::asio::awaitable<void> WaitForNextRead(reading_role role, milliseconds delay);
  boost::asio::awaitable<result<bool>> ReadOnce(milliseconds wait, spread_range range);
  std::vector<document_version> OfferAll(std::vector<document_version> documents);

  /// Goes back to the position in front of the refused entries if they are to be read again.
  bool RewindIfDue();
  /// A wait for changes, cut to the time until refused entries are to be read again.
  milliseconds WaitUntilReread(milliseconds wait) const;
  void RecordUnusable(const unusable_entry& entry);

  /// Records an entry that could not be taken over, or that it has been taken over since.
  void SetRefused(const std::string& name, bool is_document, const std::string& reason);
  void ClearRefused(const std::string& name);
  bool HasRefusedDocuments() const;

  /// Moves the position to the one read up to, unless a refused entry is behind it.
  void AdvancePosition(const source_update& update);

  /// A random part of a duration.
  milliseconds Jittered(milliseconds duration, int min_percent, int max_percent);
  std::int64_t Position() const;

  distribution_dependencies deps_;
  document_source& source_;
  record_exchange& exchange_;
  spread_strategy& strategy_;
  distribution_settings settings_;
  boost::asio::io_context& context_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  order_listener on_order_;
  /// Random part of the delay of ProofReadDue, drawn anew when other daemons read the source.
  double proof_delay_share_ = 0;
  /// Position up to which all entries have been taken over.
  std::atomic<std::uint64_t> position_ = 0;
  /// Position from which the source is read next. It is ahead of the other one while entries are
  /// refused.
  std::uint64_t read_position_ = 0;
  /// Entries of the source that could not be taken over, by name, and whether each is a document.
  std::map<std::string, bool> refused_;
  time_point reread_at_{};
  milliseconds reread_delay_{0};
  std::atomic<bool> stopping_ = false;
};

}  // namespace catkinmoor
