#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "distribution/distribution_settings.h"
#include "distribution/document_board.h"
#include "distribution/self_record.h"
#include "distribution/spread_strategy.h"
#include "framework/metrics/registry.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"

namespace catkinmoor {

/// The parts of a daemon that distribution reads and writes.
struct distribution_board {
  document_board& documents;
  member_table& members;
  self_record& self;
  quarantine_board& quarantine;
  metrics::registry& metrics;
};

/// Moves documents and member records between daemons: news is spread by the strategy, and what
/// that misses is found by comparing hashes with neighbours. Safe to use from any thread.
class record_exchange {
 public:
  /// Called for each member record that was news, before it is handed on.
  using member_listener = std::function<void(const member_record&)>;

  record_exchange(boost::asio::io_context& context, distribution_board board, peer_client& peers,
                  spread_strategy& strategy, distribution_settings settings);

  void SetMemberListener(member_listener listener) { on_member_ = std::move(listener); }

  /// Called with what others still hold of this daemon from before it restarted.
  void SetPastListener(member_listener listener) { on_past_ = std::move(listener); }

  /// Spreads documents that this daemon holds.
  void SpreadDocuments(std::vector<document_version> documents, spread_reach reach);

  /// Merges a record that this daemon states itself and spreads it.
  void StateMember(const member_record& record);

  /// Takes a report of a crash that this daemon states itself and spreads it.
  void StateCrash(const crash_report& report);

  /// Spreads this daemon's own record in its present form.
  void StateSelf();

  /// Waits until one neighbour holds this daemon's own record as it is now. False when none took it
  /// within the time.
  boost::asio::awaitable<bool> ShareSelf(milliseconds time);

  /// Makes both sides hold the newest records of either. Fails when the peer does not answer.
  boost::asio::awaitable<result<done>> Reconcile(member_record peer);

  /// The same with a peer of which only the control endpoint is known.
  boost::asio::awaitable<result<done>> ReconcileWith(endpoint control, std::string data_centre);

  /// Looks for a witness for documents that lack one.
  boost::asio::awaitable<void> SeekWitness();

  /// Hashes over all documents and all members.
  std::uint64_t DocumentHash() const;
  std::uint64_t MemberHash() const;

  boost::asio::awaitable<spread_reply> OnSpread(spread_request message);
  boost::asio::awaitable<compare_reply> OnCompare(compare_request message);
  boost::asio::awaitable<transfer_reply> OnTransfer(transfer_request message);

 private:
  struct news {
    std::vector<document_version> documents;
    std::vector<member_record> members;
  };

  bool MergeMember(const member_record& record);
  news Merge(const std::vector<document_version>& documents,
             const std::vector<member_record>& members, bool witnessed,
             std::vector<std::string>* refused);
  void QueueMember(const member_record& record);
  void FlushMembers();
  void Hand(spread_request message);
  boost::asio::awaitable<void> SendHop(spread_hop hop, spread_request message);
  spread_request MakeSpread(const spread_scope& scope) const;
  bool IsFirstRelay(const member_view& view, const member_record& self) const;
  transfer_request Difference(const compare_reply& theirs) const;
  transfer_reply Collect(const std::vector<std::string>& documents,
                         const std::vector<std::string>& members) const;

  boost::asio::io_context& context_;
  distribution_board board_;
  peer_client& peers_;
  spread_strategy& strategy_;
  distribution_settings settings_;
  member_listener on_member_;
  member_listener on_past_;
  std::mutex queue_mutex_;
  std::vector<member_record> queued_members_;
};

}  // namespace catkinmoor
