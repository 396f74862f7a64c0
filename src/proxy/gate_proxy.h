#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admission/request_ledger.h"
#include "distribution/self_record.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/metrics/registry.h"
#include "peer/messages.h"
#include "proxy/proxy_settings.h"
#include "proxy/worker_pool.h"
#include "quarantine/quarantine_board.h"

namespace catkinmoor {

/// The blackboard entries that the gate reads and writes.
struct gate_board {
  self_record& self;
  request_ledger& ledger;
  quarantine_board& quarantine;
  metrics::registry& metrics;
  /// Called on any thread when a target crashed while it ran a request.
  std::function<void(const std::string& fingerprint, const std::string& instance)> on_crash;
  /// Called on any thread when a request that was in flight at a crash has been answered since.
  std::function<void(const std::string& fingerprint)> on_cleared;
  /// Called on any thread when nothing listens at the address of an instance.
  std::function<void(const std::string& instance)> on_unreachable;
};

/// Stands in front of the vm's own target. Nothing reaches the target but through its gate, so the
/// gate knows for certain whether a request was handed on.
class gate_proxy {
 public:
  gate_proxy(worker_pool& workers, gate_board board, proxy_settings settings);
  ~gate_proxy();
  gate_proxy(const gate_proxy&) = delete;
  gate_proxy& operator=(const gate_proxy&) = delete;

  /// Binds and starts to serve. Fails with kUnavailable when the address is taken.
  result<done> Listen(const endpoint& where);

  /// Puts a target behind the gate, in place of any other.
  void SetTarget(const endpoint& where, const target_announcement& target);

  /// Takes the target away: new work is refused, work in progress goes on.
  void RemoveTarget();

  /// Refuses new work from now on as not run.
  void Drain();

  /// Stops accepting connections.
  void Close();

  /// Requests in progress or waiting.
  std::size_t Active() const;

  /// What became of a request, which from now on is never handed on unless it was already.
  request_fate Fence(const fence_request& message);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace catkinmoor
