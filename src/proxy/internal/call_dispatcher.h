#pragma once

#include <atomic>

#include "proxy/internal/attempt_sender.h"
#include "routing/target_selector.h"

namespace catkinmoor::proxy_internal {

/// Dispatches a request whose route is known: selects targets, makes attempts, and delivers the
/// response of one of them or a local response that states whether the request may have run.
class call_dispatcher {
 public:
  call_dispatcher(entry_dependencies dependencies, peer_client& peers,
                  const proxy_settings& settings, const std::atomic<bool>& draining,
                  const stop_limits& stop)
      : deps_(dependencies),
        settings_(settings),
        draining_(draining),
        stop_(stop),
        sender_(dependencies, peers, settings, stop) {}

  /// Tries targets until a response can be delivered or no further attempt is allowed. Returns
  /// whether the caller's connection can be reused.
  asio::awaitable<bool> Dispatch(entry_worker_state& worker, caller_session& caller,
                                 request_parser& parser, call_state& call);

  asio::awaitable<bool> RespondLocally(caller_session& caller, request_parser& parser,
                                       const call_state& call, local_response response);

 private:
  /// Time in which a response can still be delivered.
  milliseconds TimeLeft(const call_state& call) const;

  /// Whether a target usually takes longer than a planned stop leaves for its response.
  bool WillOutlastStop(const call_state& call, const target_load& load) const;

  next_step DecideNextStep(const call_state& call, attempt_state state, attempt_outcome outcome);

  selection_context MakeSelectionContext() const;

  void RecordLoad(const call_state& call, const member_record& target,
                  const attempt_result& attempt);

  /// Forwards a target's response to the caller.
  asio::awaitable<bool> DeliverResponse(entry_worker_state& worker, caller_session& caller,
                                        request_parser& parser, call_state& call,
                                        selection_context context, member_record target,
                                        attempt_result attempt);

  /// Whether the rest of a response may be fetched from another target. That takes a complete (not
  /// partial) response of known length to a repeatable request, with a strong entity tag, which
  /// guarantees that the other target's bytes are the same.
  static bool CanResume(const request_message& request, const call_state& call,
                        const response_parser& response);

  /// Continues an interrupted response from other targets.
  asio::awaitable<transfer_outcome> Resume(entry_worker_state& worker, caller_session& caller,
                                           request_parser& parser, call_state& call,
                                           selection_context context, response_writer& writer);

  /// Whether an attempt's response is the requested rest of the same entity.
  static bool IsContinuation(const attempt_result& attempt, const call_state& call);

  static metrics::labels MetricLabels(const call_state& call);

  void CountMetric(const char* name, const call_state& call);

  void RecordRequest(const call_state& call, unsigned status, const char* outcome);

  entry_dependencies deps_;
  const proxy_settings& settings_;
  const std::atomic<bool>& draining_;
  const stop_limits& stop_;
  attempt_sender sender_;
};

}  // namespace catkinmoor::proxy_internal
