#pragma once

#include <memory>

#include "distribution/document_board.h"
#include "distribution/quota_controller.h"
#include "distribution/self_record.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/metrics/registry.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"
#include "proxy/connection_budget.h"
#include "proxy/proxy_settings.h"
#include "proxy/worker_pool.h"
#include "quarantine/quarantine_board.h"
#include "routing/load_board.h"
#include "routing/retry_budget.h"
#include "rollout/version_router.h"
#include "routing/retry_policy.h"
#include "workspace/key_freshness.h"

namespace catkinmoor {

/// Shared state that the entry reads and writes.
struct entry_dependencies {
  document_board& documents;
  member_table& members;
  self_record& self;
  load_board& loads;
  retry_budget& budget;
  quarantine_board& quarantine;
  metrics::registry& metrics;
  key_freshness& key_proofs;
  /// Restricts requests to versions during rollouts; null if there are none.
  version_router* versions = nullptr;
  /// Null where no workspace has a quota.
  quota_controller* quotas = nullptr;
  /// What callers' connections may hold; null for no limits.
  std::shared_ptr<connection_budget> connections = nullptr;
};

/// Whose requests a listener accepts.
enum class listener_kind {
  kEntry,  ///< Callers outside the mesh; headers that daemons exchange are removed.
  kExit,   ///< The vm's own target calling other services.
};

/// Accepts requests from callers, matches each to a route and forwards it to a gate.
class entry_proxy {
 public:
  entry_proxy(worker_pool& workers, entry_dependencies dependencies, peer_client& peers,
              proxy_settings settings);
  ~entry_proxy();
  entry_proxy(const entry_proxy&) = delete;
  entry_proxy& operator=(const entry_proxy&) = delete;

  /// Binds the listening socket and starts serving. Fails with kUnavailable if it cannot be bound,
  /// for example because the address is in use.
  result<done> Listen(const endpoint& address, listener_kind kind);

  /// Until the entry is ready, it responds to every request with the outcome "not-run".
  void SetReady(bool ready);

  /// Limits the deadlines that targets are given, for a stop after which their responses could not
  /// be delivered.
  void LimitDeadlines(time_point last_deadline);

  /// Stops accepting connections and closes idle ones; requests in progress continue.
  void Drain();

  /// Answers requests that no target has begun as not run: those that wait at a gate are fenced
  /// there, and none is sent any more.
  void EndAttempts();

  /// Answers requests that wait for a target's response as unknown.
  void EndWaits();

  /// Number of requests in progress.
  std::size_t ActiveRequests() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
