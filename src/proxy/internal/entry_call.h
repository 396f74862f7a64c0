#pragma once

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "peer/messages.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/entry/response_order.h"
#include "proxy/internal/http_stream.h"
#include "proxy/internal/wire/body_upload.h"
#include "proxy/internal/permit_lease.h"
#include "routing/retry_policy.h"

namespace catkinmoor::proxy_internal {

/// Retry-After time if no better estimate is known: updates about added and removed targets arrive
/// sooner.
inline constexpr milliseconds kDefaultRetryAfter{300};

/// State of a caller's request in the entry.
struct call_state {
  /// Place of the response in the order of the caller's connection.
  response_order::ticket turn = 0;
  std::string request_id;
  std::string service;
  parsed_document_ptr document;
  const route* matched_route = nullptr;
  time_point started;
  time_point deadline;
  std::int64_t depth = 0;
  /// Workspace of the caller's key, in the document above; null without one.
  const workspace* caller_workspace = nullptr;
  /// Digest of the caller's key, and until when it admits the request; only if keys are bounded.
  std::string key_digest;
  std::optional<boot_time_point> key_valid_until;
  /// The permit of the workspace's quota, if it has one.
  std::shared_ptr<permit_lease> permit;
  /// Order of admission under load, as route::priority.
  std::int64_t priority = -1;
  std::string body;
  std::string fingerprint;
  route_split split;
  bool streams_body = false;
  bool expects_continue = false;
  std::string resume_validator;
  std::uint64_t resume_offset = 0;
  bool is_head = false;
  bool keep_alive = true;
};

/// A wait for a gate's response, shared by the coroutine of the attempt, the one that checks on the
/// request meanwhile, and the dispatcher, which may end the wait. All run on one worker's thread.
struct response_wait {
  response_wait(const asio::any_io_executor& executor, member_record asked_target, std::string id)
      : timer(executor), target(std::move(asked_target)), attempt_id(std::move(id)) {}

  bool IsSent() const { return gate != nullptr; }

  /// Expires when the gate is to be queried.
  asio::steady_timer timer;
  member_record target;
  std::string attempt_id;
  time_point sent_at = Now();
  /// The connection that the request is sent on; null before. Valid while the wait is active.
  connection* gate = nullptr;
  bool active = false;
  bool is_querying_gate = false;
  /// Whether a planned stop of the daemon has ended the wait.
  bool ended_by_stop = false;
  /// Whether the response is not needed any more.
  bool superseded = false;
  /// Whether the gate has stated that it will never forward the request.
  bool never_forwarded = false;
  /// Whether it is doubtful that a response will arrive. on_doubt is called when that is found.
  bool in_doubt = false;
  std::function<void()> on_doubt;
  /// Whether the gate replied to the query that raised the doubt.
  bool gate_replies = false;
  /// State of the gate's member when an unanswered query was last logged.
  std::string logged_member_state;
};

/// How an attempt ended, with what is needed to deliver its response.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kNotSent;
  bool gate_queried = false;
  bool body_consumed = false;
  bool caller_disconnected = false;
  bool connection_silent = false;
  connection_ptr gate;
  /// The streamed body of the request, if it was sent in part or whole. Not done only if there is
  /// a response to deliver.
  body_upload_ptr upload;
  std::unique_ptr<response_parser> response;
  std::string reason;
  error failure;
  /// Time after which the gate expects to have capacity again.
  milliseconds retry_after = kDefaultRetryAfter;
};

/// A local response with the outcome "not-run".
inline local_response NotRunResponse(unsigned status, std::string reason, std::string step,
                                     std::string message) {
  return {status,
          kOutcomeNotRun,
          std::move(reason),
          {error_kind::kRefused, std::move(step), "", std::move(message)}};
}

/// State shared by all connections of one worker.
struct entry_worker_state {
  entry_worker_state(const proxy_settings& settings, std::uint64_t seed)
      : pool(settings), random(seed) {}

  connection_pool pool;
  std::mt19937_64 random;
  std::set<connection*> idle_callers;
  /// Callers whose request body is being read.
  std::set<connection*> sending_callers;
  std::set<response_wait*> response_waits;
};

}  // namespace catkinmoor::proxy_internal
