#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "distribution/distribution_settings.h"
#include "distribution/document_board.h"
#include "distribution/self_record.h"
#include "distribution/source_freshness.h"
#include "distribution/spread_strategy.h"
#include "framework/metrics/registry.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"
#include "rollout/rollout_board.h"
#include "store/store_era.h"
#include "workspace/key_freshness.h"

namespace catkinmoor {

/// The shared state of a daemon that distribution reads and writes.
struct distribution_dependencies {
  document_board& documents;
  member_table& members;
  self_record& self;
  source_freshness& freshness;
  quarantine_board& quarantine;
  metrics::registry& metrics;
  key_freshness& key_proofs;
  /// Era of the store; null where the store states none.
  store_era* era = nullptr;
};

/// Exchanges documents and member records between daemons. Updates are spread by the strategy;
/// whatever that misses is found by comparing hashes with neighbours. Thread-safe.
class record_exchange {
 public:
  /// Called for each received member record that was newer than the one held, before it is
  /// forwarded.
  using member_listener = std::function<void(const member_record&)>;

  record_exchange(boost::asio::io_context& context, distribution_dependencies deps,
                  peer_client& peers, spread_strategy& strategy, distribution_settings settings);

  void SetMemberListener(member_listener listener) { on_member_ = std::move(listener); }

  /// Sets a listener that is called with records of this daemon that peers hold in another version,
  /// such as one from before it restarted.
  void SetStaleSelfListener(member_listener listener) { on_stale_self_ = std::move(listener); }

  /// Spreads documents that this daemon holds.
  void SpreadDocuments(std::vector<document_version> documents, spread_range range);

  /// Spreads what a read of the source at `read_at` returned, and confirms to the daemons in range
  /// that this daemon's documents were then the newest, if they were.
  void SpreadSourceRead(std::vector<document_version> documents, spread_range range,
                        time_point read_at, bool is_current);

  /// Merges a record that originates at this daemon, and spreads it if it was newer.
  void AnnounceMember(const member_record& record);

  /// Records a crash report that originates at this daemon, and spreads it if it was new.
  void AnnounceCrash(const crash_report& report);

  /// Sets the board that holds the states of rollouts; without one they are not exchanged.
  void SetRolloutBoard(rollout_board* rollouts) { rollouts_ = rollouts; }

  /// Records a state of a rollout, and spreads it if it was newer than the one held.
  void AnnounceRollout(const rollout_state& state, spread_range range);

  /// Merges and spreads this daemon's own record as it is now.
  void AnnounceSelf();

  /// Waits until one neighbour holds this daemon's own record as it is now. False if none confirmed
  /// that within `time`.
  boost::asio::awaitable<bool> ReplicateSelf(milliseconds time);

  /// Brings both sides up to the newest records of either. Fails if the peer does not respond.
  boost::asio::awaitable<result<done>> Reconcile(member_record peer);

  /// As above, for a peer of which only the control endpoint and the data centre are known.
  boost::asio::awaitable<result<done>> ReconcileWith(endpoint control, std::string data_centre);

  /// Reconciles with a neighbour to find a witness for documents that lack one.
  boost::asio::awaitable<void> FindWitness();

  /// Hashes over all documents and all members.
  std::uint64_t DocumentHash() const;
  std::uint64_t MemberHash() const;

  boost::asio::awaitable<spread_reply> OnSpread(spread_request message);
  boost::asio::awaitable<compare_reply> OnCompare(compare_request message);
  boost::asio::awaitable<transfer_reply> OnTransfer(transfer_request message);

 private:
  struct record_batch {
    std::vector<document_version> documents;
    std::vector<member_record> members;
  };

  bool MergeMember(const member_record& record);
  record_batch Merge(const std::vector<document_version>& documents,
                     const std::vector<member_record>& members, bool witnessed,
                     std::vector<std::string>* refused);
  void ApplyConfirmation(const source_confirmation& confirmation, const std::string& sender);

  /// Fetches documents whose spreading did not reach this daemon.
  boost::asio::awaitable<void> FetchMissed(std::string sender, std::uint64_t last_change);
  /// Keeps states of rollouts and returns those that were newer.
  std::vector<rollout_state> MergeRollouts(const std::vector<rollout_state>& states);
  void QueueMember(const member_record& record);
  void FlushMembers();
  void Forward(spread_request message);
  boost::asio::awaitable<void> SendHop(spread_hop hop, spread_request message);
  spread_request MakeSpread(const spread_scope& scope) const;
  bool IsFirstRelay(const member_view& view, const member_record& self) const;
  transfer_request ComputeDifference(const compare_reply& comparison) const;
  transfer_reply CollectRecords(const std::vector<std::string>& documents,
                                const std::vector<std::string>& members) const;

  boost::asio::io_context& context_;
  distribution_dependencies deps_;
  peer_client& peers_;
  spread_strategy& strategy_;
  distribution_settings settings_;
  rollout_board* rollouts_ = nullptr;
  member_listener on_member_;
  member_listener on_stale_self_;
  std::atomic<bool> fetching_missed_ = false;
  std::mutex queue_mutex_;
  std::vector<member_record> queued_members_;
};

}  // namespace catkinmoor
