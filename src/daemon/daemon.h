#pragma once

#include <functional>
#include <memory>

#include "daemon/daemon_settings.h"
#include "daemon/target_registration.h"
#include "framework/base/result.h"
#include "framework/http/client.h"
#include "rollout/rollout_status.h"
#include "store/document_source.h"
#include "store/platform_client.h"
#include "store/store_era.h"

namespace catkinmoor {

/// Hooks by which a build for another platform replaces parts of the daemon. An empty hook keeps
/// the default implementation.
struct daemon_hooks {
  using registration_handler =
      std::function<boost::asio::awaitable<http::response>(target_registration&, http::request)>;

  /// Creates the client of the platform's table and object store, which reports the store's era.
  std::function<std::unique_ptr<platform_client>(http::client&, store_era&)> make_platform_client;
  /// Creates the source of accepted documents, which reads through the daemon's HTTP client.
  std::function<std::unique_ptr<document_source>(http::client&, store_era&)> make_document_source;
  /// Creates the writer of the states of rollouts; without one, operators are not told.
  std::function<std::unique_ptr<rollout_status_writer>(http::client&, store_era&)>
      make_rollout_status;
  /// Handles the requests by which the vm's own target registers.
  registration_handler handle_registration;
  /// Reads the settings again on a reload.
  std::function<std::variant<daemon_settings, json::problems>()> read_settings;
};

/// The daemon process of one vm: entry for callers, gate in front of the vm's own target, exit for
/// the target's calls, and the vm's part in distribution. Creates and connects all modules.
class catkinmoor_daemon {
 public:
  explicit catkinmoor_daemon(daemon_settings settings, daemon_hooks hooks = {});
  ~catkinmoor_daemon();
  catkinmoor_daemon(const catkinmoor_daemon&) = delete;
  catkinmoor_daemon& operator=(const catkinmoor_daemon&) = delete;

  /// Serves until a termination signal or an operator's drain request, then shuts down gracefully.
  /// Fails when a listening address is already in use.
  result<done> Run();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinmoor
