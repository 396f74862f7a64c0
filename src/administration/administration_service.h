#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "administration/team_registry.h"
#include "distribution/record_exchange.h"
#include "distribution/status_controller.h"
#include "framework/http/message.h"
#include "store/document_repository.h"

namespace catkinmoor {

/// What the administration interface works on.
struct administration_parts {
  distribution_board board;
  document_repository& repository;
  record_exchange& exchange;
  status_controller& status;
  const team_registry& teams;
  std::function<bool()> ready;
  std::function<void()> drain;
  std::function<void()> refresh_metrics;
};

/// The operators' HTTP interface of one daemon, versioned under /v1. Answers are JSON; errors have
/// one shape that carries kind, step, peer and message.
class administration_service {
 public:
  explicit administration_service(administration_parts parts);

  boost::asio::awaitable<http::reply> Answer(http::request message);

 private:
  struct call;
  using answer_function =
      boost::asio::awaitable<http::reply> (administration_service::*)(const call& of);

  /// One row of the table of operations.
  struct operation {
    const char* method;
    const char* pattern;
    bool needs_team;
    answer_function answer;
  };
  static const std::vector<operation>& Operations();

  boost::asio::awaitable<http::reply> ListDocuments(const call& of);
  boost::asio::awaitable<http::reply> GetDocument(const call& of);
  boost::asio::awaitable<http::reply> PutDocument(const call& of);
  boost::asio::awaitable<http::reply> GetHistory(const call& of);
  boost::asio::awaitable<http::reply> GetStatus(const call& of);
  boost::asio::awaitable<http::reply> GetChange(const call& of);
  boost::asio::awaitable<http::reply> ListMembers(const call& of);
  boost::asio::awaitable<http::reply> ListQuarantine(const call& of);
  boost::asio::awaitable<http::reply> ReleaseQuarantine(const call& of);
  boost::asio::awaitable<http::reply> Drain(const call& of);
  boost::asio::awaitable<http::reply> Metrics(const call& of);
  boost::asio::awaitable<http::reply> Health(const call& of);
  boost::asio::awaitable<http::reply> Readiness(const call& of);

  std::optional<error> CheckOwner(const call& of, const document& content) const;

  administration_parts parts_;
};

}  // namespace catkinmoor
