#pragma once

#include <functional>
#include <memory>

#include "daemon/daemon_settings.h"
#include "daemon/target_registration.h"
#include "framework/base/result.h"
#include "framework/http/client.h"
#include "store/document_source.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// What a daemon of another platform replaces of its surroundings. Empty members leave the
/// project's own in place.
struct daemon_edges {
  using registration_handler =
      std::function<boost::asio::awaitable<http::reply>(target_registration&, http::request)>;

  /// Makes the client of the platform's table and object store.
  std::function<std::unique_ptr<platform_client>(http::client&)> make_platform;
  /// Makes the source of accepted documents, given the daemon's platform client.
  std::function<std::unique_ptr<document_source>(http::client&)> make_source;
  /// Answers the interface by which the vm's own target announces itself.
  registration_handler answer_registration;
  /// Reads the settings again, for a reload.
  std::function<std::variant<daemon_settings, json::problems>()> read_settings;
};

/// The one process on each vm: entry for callers, gate before its own target, exit for the target's
/// calls, and its share of distribution. All modules are wired together here and nowhere else.
class catkinmoor_daemon {
 public:
  explicit catkinmoor_daemon(daemon_settings settings, daemon_edges edges = {});
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
