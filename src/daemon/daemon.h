#pragma once

#include <memory>

#include "daemon/daemon_settings.h"
#include "framework/base/result.h"

namespace catkinmoor {

/// The one process on each vm: entry for callers, gate before its own target, exit for the target's
/// calls, and its share of distribution. All modules are wired together here and nowhere else.
class catkinmoor_daemon {
 public:
  explicit catkinmoor_daemon(daemon_settings settings);
  ~catkinmoor_daemon();
  catkinmoor_daemon(const catkinmoor_daemon&) = delete;
  catkinmoor_daemon& operator=(const catkinmoor_daemon&) = delete;

  /// Serves until a termination signal or an operator's drain, then stops gracefully. Fails when an
  /// address is taken.
  result<done> Run();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinmoor
