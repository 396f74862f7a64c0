#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admission/request_ledger.h"
#include "distribution/self_record.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/metrics/registry.h"
#include "peer/messages.h"
#include "proxy/connection_budget.h"
#include "proxy/proxy_settings.h"
#include "proxy/target_load_report.h"
#include "proxy/worker_pool.h"
#include "quarantine/quarantine_board.h"

namespace catkinmoor {

/// Shared state that the gate reads and writes, and its callbacks.
struct gate_dependencies {
  self_record& self;
  request_ledger& ledger;
  quarantine_board& quarantine;
  metrics::registry& metrics;
  /// Called on any thread when a target crashed while it was running a request.
  std::function<void(const std::string& fingerprint, const std::string& instance)> on_crash;
  /// Called on any thread when a target responds to a request whose fingerprint was in flight at an
  /// earlier crash.
  std::function<void(const std::string& fingerprint)> on_cleared;
  /// Called on any thread when a connection to an instance's address fails as unavailable.
  std::function<void(const std::string& instance)> on_unreachable;
  /// Called on any thread when an instance states in a response that it is leaving. The gate has
  /// stopped sending it new requests by then.
  std::function<void(const std::string& instance)> on_leaving;
  /// What other daemons' connections may hold; null for no limits.
  std::shared_ptr<connection_budget> connections = nullptr;
};

/// The inbound proxy of the vm's own target. Requests reach the target only through its gate, so
/// the gate knows for certain whether a request was forwarded.
class gate_proxy {
 public:
  gate_proxy(worker_pool& workers, gate_dependencies dependencies, proxy_settings settings);
  ~gate_proxy();
  gate_proxy(const gate_proxy&) = delete;
  gate_proxy& operator=(const gate_proxy&) = delete;

  /// Binds the listening socket and starts serving. Fails with kUnavailable if it cannot be bound,
  /// for example because the address is in use.
  result<done> Listen(const endpoint& address);

  /// Sets the target that requests are forwarded to, replacing any previous one.
  void SetTarget(const endpoint& address, const target_announcement& target);

  /// Removes the target: new and waiting requests are refused, running ones continue.
  void RemoveTarget();

  /// Refuses new and waiting requests from now on with the outcome "not-run".
  void Drain();

  /// Stops accepting connections.
  void StopAccepting();

  /// Number of requests in progress or waiting.
  std::size_t ActiveRequests() const;

  /// The load that the current target stated last; nothing if it has stated none.
  std::optional<target_load_report> TargetLoad() const;

  /// Returns the fate of a request and, if it has not been forwarded yet, ensures that it never
  /// will be. A request that is waiting is left alone if the message asks for that.
  request_fate Fence(const fence_request& message);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
