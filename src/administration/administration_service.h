#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "administration/team_registry.h"
#include "distribution/record_exchange.h"
#include "distribution/rollout_controller.h"
#include "distribution/status_controller.h"
#include "framework/http/message.h"
#include "store/document_repository.h"

namespace catkinmoor {

/// Objects and callbacks that the administration interface uses.
struct administration_dependencies {
  distribution_dependencies distribution;
  document_repository& repository;
  record_exchange& exchange;
  status_controller& status;
  const team_registry& teams;
  std::function<bool()> ready;
  std::function<void()> drain;
  std::function<void()> refresh_metrics;
  std::function<std::vector<rollout_view>()> rollouts = {};
};

/// The operators' HTTP interface of one daemon, versioned under /v1. Response bodies are JSON;
/// every error object has the members kind, step, peer and message.
class administration_service {
 public:
  explicit administration_service(administration_dependencies dependencies);

  boost::asio::awaitable<http::response> Handle(http::request message);

 private:
  struct operator_request;
  using handler_function = boost::asio::awaitable<http::response> (administration_service::*)(
      const operator_request& request);

  /// An entry of the table of operations. A "*" in the path pattern stands for one path segment.
  struct operation {
    const char* method;
    const char* path_pattern;
    bool requires_team;
    handler_function handler;
  };
  static const std::vector<operation>& Operations();

  boost::asio::awaitable<http::response> ListDocuments(const operator_request& request);
  boost::asio::awaitable<http::response> GetDocument(const operator_request& request);
  boost::asio::awaitable<http::response> PutDocument(const operator_request& request);
  boost::asio::awaitable<http::response> GetHistory(const operator_request& request);
  boost::asio::awaitable<http::response> GetStatus(const operator_request& request);
  boost::asio::awaitable<http::response> GetChange(const operator_request& request);
  boost::asio::awaitable<http::response> ListMembers(const operator_request& request);
  boost::asio::awaitable<http::response> ListQuarantine(const operator_request& request);
  boost::asio::awaitable<http::response> ReleaseQuarantine(const operator_request& request);
  boost::asio::awaitable<http::response> GetRollout(const operator_request& request);
  boost::asio::awaitable<http::response> Drain(const operator_request& request);
  boost::asio::awaitable<http::response> Metrics(const operator_request& request);
  boost::asio::awaitable<http::response> Health(const operator_request& request);
  boost::asio::awaitable<http::response> Readiness(const operator_request& request);

  std::optional<error> CheckOwner(const operator_request& request, const document& content) const;

  administration_dependencies dependencies_;
};

}  // namespace catkinmoor
