#pragma once

#include <cstdint>
#include <string>

#include "framework/base/address_translation.h"
#include "framework/base/clock.h"

namespace catkinmoor {

/// How the daemon's neighbours spell what catkinmoor tells them and learns from them. The names of
/// headers differ between platforms; an empty name means that the matter is not spoken of.
struct wire_dialect {
  /// Carries the milliseconds that a caller will still wait, from callers and on to targets.
  std::string deadline_header = "x-catkinmoor-deadline-ms";
  /// Whether callers outside the mesh may state their deadline.
  bool callers_state_deadlines = false;
  /// Names the instance that a request is meant for, so that any other target turns it away.
  std::string instance_header;
  /// Names the service on whose vm the request began.
  std::string caller_service_header;
  /// Marks an answer by which a target says that it has not run the request.
  std::string not_run_header;
  /// Marks every genuine success of a target.
  std::string proof_header;
  /// Whether targets repeat the request id on their answers, so that a crossed one is told apart.
  bool targets_repeat_ids = false;
  /// Whether Retry-After may carry fractions of a second.
  bool fractional_retry_after = false;
};

/// Bounds and times of the serving path.
struct proxy_settings {
  std::int64_t header_bytes = 16 << 10;
  std::int64_t body_bytes = 4LL << 30;
  std::int64_t replay_bytes = 64 << 10;
  milliseconds header_timeout{10'000};
  milliseconds idle_timeout{60'000};
  milliseconds progress_timeout{15'000};
  milliseconds connect_timeout{1'000};
  milliseconds fence_timeout{1'000};
  milliseconds silence_check{1'000};
  std::int64_t pool_idle = 64;
  std::int64_t max_depth = 6;
  /// Rate of the vm's link in kilobits a second, which long answers to other vms keep to; 0 when it
  /// needs no care.
  std::int64_t link_kbps = 0;
  /// Document that holds the routes of every host; empty when each service has its own, which the
  /// first label of the host names.
  std::string mesh_document;
  /// Service of the vm's own target, told to the targets that its requests reach.
  std::string own_service;
  wire_dialect dialect;
  address_translation translation;
};

}  // namespace catkinmoor
