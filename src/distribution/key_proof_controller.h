#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

#include "distribution/record_exchange.h"

namespace catkinmoor {

/// Members of a region that its daemons ask for proof, in this order. The first two read the
/// source. The others begin to read it before all remaining daemons do, when the first two do not.
inline constexpr std::size_t kProofCandidates = 4;

/// Keeps the proof behind the revocation of keys young on a daemon that does not read the source:
/// asks a reader of the region for the age of its proof, and others if that one does not answer or
/// has no recent proof itself. Answers the same queries of other daemons.
class key_proof_controller {
 public:
  key_proof_controller(boost::asio::io_context& context, distribution_dependencies deps,
                       peer_client& peers, record_exchange& exchange, spread_strategy& strategy,
                       std::uint64_t seed);

  /// Asks until Stop; returns at once without a bound. Runs as its own coroutine.
  boost::asio::awaitable<void> Run();
  void Stop();

  boost::asio::awaitable<confirm_reply> OnConfirm(confirm_request message);

 private:
  /// A daemon to ask. Only one that precedes this daemon among the candidates relieves it of
  /// reading the source: if any could, two that read it would both stop when they hear each other.
  struct candidate {
    member_ptr member;
    bool relieves = false;
  };

  std::vector<candidate> Candidates();

  /// Asks candidates until one has a proof of the usual age. False if none has.
  boost::asio::awaitable<bool> AskCandidates();
  boost::asio::awaitable<bool> Ask(candidate asked);

  /// Whether this daemon holds the documents of a reply, or newer ones.
  bool HoldsDocuments(const confirm_reply& reply, std::uint64_t asked_hash) const;
  boost::asio::awaitable<void> FetchFrom(member_ptr member);
  void CountQuery(const char* outcome);
  void LogTransition();

  boost::asio::io_context& context_;
  distribution_dependencies deps_;
  peer_client& peers_;
  record_exchange& exchange_;
  spread_strategy& strategy_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::size_t rounds_ = 0;
  bool fetching_ = false;
  bool was_fresh_ = false;
  std::atomic<bool> stopping_ = false;
};

}  // namespace catkinmoor
