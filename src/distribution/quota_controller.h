#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <variant>

#include "distribution/document_board.h"
#include "framework/metrics/registry.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"
#include "quota/authority_finder.h"
#include "quota/permit_authority.h"
#include "store/platform_client.h"
#include "store/store_era.h"

namespace catkinmoor {

/// The shared state and the links that quotas need.
struct quota_dependencies {
  document_board& documents;
  member_table& members;
  peer_client& peers;
  platform_client& platform;
  metrics::registry& metrics;
  /// Era of the store, without which rows may go back unnoticed.
  const store_era& era;
};

struct quota_identity {
  std::string vm;
  /// Number of the daemon's start.
  std::uint64_t incarnation = 0;
  /// Processor share of the vm, in cores.
  double processor_share = 1;
  /// Document that holds the workspaces.
  std::string document;
  /// Endpoint at which other daemons reach this one.
  std::string control = {};
};

/// Applies the quotas of workspaces to this daemon's requests, and is the quota authority of the
/// fleet while it holds the authority's row. Permits are taken and settled on any thread;
/// everything else runs on the thread of the context.
class quota_controller {
 public:
  quota_controller(boost::asio::io_context& context, quota_dependencies deps,
                   quota_identity identity, quota_settings settings);
  quota_controller(const quota_controller&) = delete;
  quota_controller& operator=(const quota_controller&) = delete;

  /// Whether the settings have a quota window.
  bool Enabled() const { return settings_.Enabled(); }

  /// Starts the exchange of permits and the watch of the authority's row, until Stop.
  void Start();
  void Stop();

  /// Releases the authority's row if this daemon holds it, so that another may claim it at once.
  void Release();

  /// Takes a permit for one request of a workspace. If an ask may bring one, waits for it until
  /// `wait_end` at most.
  boost::asio::awaitable<std::variant<permit, permit_refusal>> Take(std::string workspace,
                                                                    time_point wait_end);

  /// Settles a permit whose request has ended: used if it may have run, else given back.
  void Settle(const permit& taken, bool may_have_run);

  boost::asio::awaitable<permit_reply> OnPermits(permit_ask message);

  void RefreshMetrics();

 private:
  boost::asio::awaitable<void> ExchangePermits();
  boost::asio::awaitable<void> Ask();
  boost::asio::awaitable<void> WatchRow();
  boost::asio::awaitable<void> RenewOrClaim();
  boost::asio::awaitable<bool> ReadRow();
  boost::asio::awaitable<void> WriteRelease(authority_claim::row_claim released);

  /// Whether this daemon reads the row: as the authority, as a candidate, or since it finds no
  /// authority.
  bool MustWatch(const std::vector<std::string>& candidates) const;
  std::vector<std::string> Candidates() const;
  std::size_t DaemonCount() const;
  permit_reply Answer(const permit_ask& ask);

  /// Starts or ends this daemon's authority as the claim says, and takes over changed limits.
  void UpdateAuthority();
  std::optional<authority_row> FreshRow(boot_time_point now) const;
  void OnAnswered(const permit_reply& reply, boot_time_point now);

  /// Remembers where the authority is reached. After a restart of all daemons its member record
  /// arrives later than its name.
  void LearnEndpoint(const std::string& vm, const std::string& control);
  std::optional<endpoint> EndpointOf(const std::string& vm) const;
  void WakeWaiting();
  void CountRefusal(const std::string& workspace, const permit_refusal& refusal);

  boost::asio::io_context& context_;
  quota_dependencies deps_;
  quota_identity identity_;
  /// The vm whose endpoint was learnt last, and the endpoint. Used on the controller's thread only.
  std::string learnt_vm_;
  endpoint learnt_endpoint_;
  quota_settings settings_;
  std::atomic<bool> stopping_ = false;
  boost::asio::steady_timer ask_timer_;
  boost::asio::steady_timer watch_timer_;

  /// Guards the holder and what waits for it.
  mutable std::mutex mutex_;
  permit_holder holder_;
  std::set<std::shared_ptr<boost::asio::steady_timer>> waiting_;
  std::map<std::string, time_point> last_refusals_;

  authority_finder finder_;
  authority_claim claim_;
  std::unique_ptr<permit_authority> authority_;
  parsed_document_ptr limits_of_;
  std::optional<boot_time_point> row_read_at_;
  /// Since when no authority has answered.
  boot_time_point searching_since_;
  /// The authority that answered last.
  std::string answered_by_;
  std::uint64_t answered_epoch_ = 0;
};

}  // namespace catkinmoor
