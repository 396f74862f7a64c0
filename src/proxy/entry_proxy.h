#pragma once

#include <memory>

#include "distribution/document_board.h"
#include "distribution/self_record.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/metrics/registry.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"
#include "proxy/proxy_settings.h"
#include "proxy/worker_pool.h"
#include "quarantine/quarantine_board.h"
#include "routing/load_board.h"
#include "routing/retry_policy.h"

namespace catkinmoor {

/// The blackboard entries that the entry reads and writes.
struct entry_board {
  document_board& documents;
  member_table& members;
  self_record& self;
  load_board& loads;
  retry_budget& budget;
  quarantine_board& quarantine;
  metrics::registry& metrics;
};

/// Who is served on a listener.
enum class entry_side {
  kCallers,  ///< Callers from outside; headers that daemons use among themselves are removed.
  kTarget,   ///< The vm's own target calling other services.
};

/// Takes requests of callers, finds their route and carries each to a gate.
class entry_proxy {
 public:
  entry_proxy(worker_pool& workers, entry_board board, peer_client& peers, proxy_settings settings);
  ~entry_proxy();
  entry_proxy(const entry_proxy&) = delete;
  entry_proxy& operator=(const entry_proxy&) = delete;

  /// Binds and starts to serve. Fails with kUnavailable when the address is taken.
  result<done> Listen(const endpoint& where, entry_side side);

  /// Until it is ready, every request is answered "not run".
  void SetReady(bool ready);

  /// Stops accepting and closes idle connections; requests in progress go on.
  void Drain();

  /// Requests in progress.
  std::size_t Active() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
