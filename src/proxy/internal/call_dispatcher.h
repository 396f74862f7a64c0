#pragma once

#include <atomic>
#include <memory>

#include "proxy/internal/attempt_sender.h"
#include "proxy/internal/dispatched_call.h"
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

  /// Makes attempts until one yields a response to deliver. Returns null if none does; the call
  /// then has a failed attempt or a local response to deliver, or the caller has left.
  asio::awaitable<dispatched_attempt_ptr> MakeAttempts(dispatched_call& dispatched);

  /// Chooses a target and starts an attempt. If there is no target, the fallback states why.
  void StartAttempt(dispatched_call& dispatched);

  /// Chooses the target of the next attempt. Returns null, and sets the fallback, if there is none.
  member_ptr ChooseTarget(dispatched_call& dispatched);

  /// Runs an attempt to its end. It holds the session, which it may watch until it is destroyed.
  static asio::awaitable<void> RunAttempt(call_dispatcher* self, dispatched_call* dispatched,
                                          std::shared_ptr<caller_session> session,
                                          dispatched_attempt_ptr attempt);

  /// Waits until an attempt has ended or its response has become doubtful.
  static asio::awaitable<dispatched_attempt_ptr> AwaitChange(dispatched_call& dispatched);

  /// Decides what follows an attempt that has ended.
  asio::awaitable<next_step> DecideAfterEnd(dispatched_call& dispatched,
                                            dispatched_attempt& attempt);

  /// Decides whether to start an attempt beside one whose response is in doubt.
  next_step DecideInDoubt(dispatched_call& dispatched, const dispatched_attempt& attempt);

  /// Queries the gate of a lost attempt, which thereby counts as fenced if it was not forwarded.
  asio::awaitable<next_step> DecideByGate(dispatched_call& dispatched, dispatched_attempt& attempt);

  /// Ends the attempts whose responses are not needed any more.
  static void SupersedeOthers(dispatched_call& dispatched);
  static asio::awaitable<void> AwaitEndOfAll(dispatched_call& dispatched);

  next_step DecideNextStep(const dispatched_call& dispatched, attempt_state state);

  selection_context MakeSelectionContext(const call_state& call) const;

  void RecordLoad(const call_state& call, const member_record& target,
                  const attempt_result& attempt);

  /// Forwards a target's response to the caller.
  asio::awaitable<bool> DeliverResponse(entry_worker_state& worker, caller_session& caller,
                                        request_parser& parser, call_state& call,
                                        selection_context context, member_record target,
                                        attempt_result attempt);

  /// Delivers the response of an attempt, or a local one if there is none.
  asio::awaitable<bool> Respond(dispatched_call& dispatched, dispatched_attempt_ptr chosen);

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

  /// Whether a response leaves the caller's connection open.
  bool KeepsOpen(caller_session& caller, const call_state& call) const;

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
