#pragma once

#include <cstdint>
#include <string>

#include "document/document.h"
#include "framework/base/address_translation.h"
#include "framework/base/clock.h"

namespace catkinmoor {

/// HTTP conventions of the callers and targets that the proxies talk to. Header names differ
/// between platforms; with an empty name, the header is neither sent nor read.
struct http_conventions {
  /// Time in milliseconds that the caller will still wait; read from callers, sent to targets.
  std::string deadline_header = "x-catkinmoor-deadline-ms";
  /// Whether deadlines stated by callers outside the mesh are honoured.
  bool honour_caller_deadlines = false;
  /// Instance that a request is meant for, so that any other target rejects it.
  std::string instance_header;
  /// Service on whose vm the request originated.
  std::string caller_service_header;
  /// Present on a response by which a target states that it has not run the request.
  std::string not_executed_header;
  /// Present on every genuine success (2xx) response of a target.
  std::string success_proof_header;
  /// On a response of a target that limits the requests that it gets from all callers together: how
  /// many a second. In force until a response does not carry it.
  std::string limit_header;
  /// On a response of a target: its load as decimal numbers separated by commas (requests that run,
  /// that wait, slots), and where present a fourth, the time that work takes at present in per cent
  /// of the usual time.
  std::string load_header;
  /// On a response of a target that is leaving, with the value 1.
  std::string leaving_header;
  /// Carries the key of a caller, after the name of a scheme. Read where the document has
  /// workspaces, and never passed on then.
  std::string key_header;
  std::string key_scheme;
  /// Workspace of the caller, sent to targets.
  std::string workspace_header;
  /// Whether targets echo the request id in their responses, which reveals a response to another
  /// request.
  bool targets_echo_request_ids = false;
  /// Whether Retry-After may carry fractions of a second.
  bool fractional_retry_after = false;
};

/// Limits and timeouts of the request path.
struct proxy_settings {
  std::int64_t max_header_bytes = kDefaultHeaderBytes;
  std::int64_t max_body_bytes = 4LL << 30;
  std::int64_t max_replay_bytes = 64 << 10;
  milliseconds header_timeout{10'000};
  milliseconds idle_timeout{60'000};
  milliseconds progress_timeout{15'000};
  milliseconds connect_timeout{1'000};
  milliseconds fence_timeout{1'000};
  milliseconds silence_check_interval{1'000};
  std::int64_t max_idle_connections = 64;
  std::int64_t max_call_depth = 6;
  /// Rate of the vm's link in kilobits per second; long responses to other vms are paced to a share
  /// of it. 0 disables pacing.
  std::int64_t link_kbps = 0;
  /// Document that holds the routes of all hosts. If empty, each service has its own document,
  /// named by the first label of the request's host.
  std::string mesh_document;
  /// Service of the vm's own target, sent to the targets that its requests reach.
  std::string own_service;
  http_conventions conventions;
  address_translation translation;
};

}  // namespace catkinmoor
