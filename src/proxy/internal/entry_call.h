#pragma once

#include <random>
#include <set>
#include <string>

#include "peer/messages.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/stream_http.h"
#include "routing/retry_policy.h"

namespace catkinmoor::proxy_internal {

/// When a request is worth sending again if nothing better is known: news of a target that came or
/// went takes less.
inline constexpr milliseconds kRetryAfter{300};

/// A caller's request on its way through the entry.
struct call_state {
  std::string request_id;
  std::string service;
  active_document_ptr content;
  const route* chosen = nullptr;
  time_point started;
  time_point deadline;
  std::int64_t depth = 0;
  std::string body;
  std::string fingerprint;
  route_split split;
  bool streams = false;
  bool caller_expects = false;
  std::string validator;
  std::uint64_t resume_at = 0;
  bool head = false;
  bool keep_alive = true;
};

/// One wait for the answer of a gate, shared with what watches it.
struct answer_wait {
  explicit answer_wait(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  connection* gate = nullptr;
  bool active = true;
  request_fate verdict = request_fate::kUnknown;
  /// Whether the request can be run again from the start.
  bool repeatable = false;
  bool unheard = false;
};

/// How an attempt ended, with what is needed to deliver its answer.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kNotSent;
  bool gate_asked = false;
  bool body_used = false;
  bool caller_gone = false;
  bool silent = false;
  connection_ptr gate;
  std::unique_ptr<response_parser> answer;
  std::string reason;
  error failure;
  /// When the gate expects to have room again.
  milliseconds retry_after = kRetryAfter;
};

/// An answer of our own that says that the request did not run.
inline own_answer NotRun(unsigned status, std::string reason, std::string step,
                         std::string message) {
  return {status,
          kNotRun,
          std::move(reason),
          {error_kind::kRefused, std::move(step), "", std::move(message)}};
}

/// What one worker's connections share.
struct entry_worker {
  entry_worker(const proxy_settings& settings, std::uint64_t seed) : pool(settings), random(seed) {}

  connection_pool pool;
  std::mt19937_64 random;
  std::set<connection*> idle;
};

}  // namespace catkinmoor::proxy_internal
