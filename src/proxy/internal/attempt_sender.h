#pragma once

#include <memory>
#include <optional>

#include "peer/peer_transport.h"
#include "proxy/entry_proxy.h"
#include "proxy/internal/entry/caller_session.h"
#include "proxy/internal/entry_call.h"
#include "proxy/internal/stop_limits.h"

namespace catkinmoor::proxy_internal {

/// Makes single attempts at running a request: sends it to a gate and reads the response header.
class attempt_sender {
 public:
  attempt_sender(entry_dependencies dependencies, peer_client& peers,
                 const proxy_settings& settings, const stop_limits& stop)
      : deps_(dependencies), peers_(peers), settings_(settings), stop_(stop) {}

  /// Queries the gate over another connection about the fate of an attempt. This also fences the
  /// attempt, unless it is waiting and except_waiting is set. Returns nothing if no reply arrived
  /// in time or the reply cannot be relied on.
  asio::awaitable<std::optional<request_fate>> QueryGate(member_record target,
                                                         std::string attempt_id, time_point sent_at,
                                                         bool except_waiting,
                                                         milliseconds time_left);

  /// Makes the attempt that the wait describes, and calls its on_doubt once if it becomes doubtful
  /// that a response will arrive. The attempt goes on meanwhile.
  asio::awaitable<attempt_result> MakeAttempt(entry_worker_state& worker, caller_session& caller,
                                              request_parser& parser, const call_state& call,
                                              std::shared_ptr<response_wait> wait);

  /// Ends an attempt whose response is not needed any more.
  static void Supersede(response_wait& wait);

  /// Reads a response that is not delivered to its end, and returns its connection to the pool if
  /// it can be reused.
  asio::awaitable<void> DiscardResponse(entry_worker_state& worker, member_record target,
                                        attempt_result& attempt);

 private:
  static std::optional<milliseconds> RemainingObjective(const call_state& call);

  gate_call MakeGateCall(const call_state& call, const member_record& target,
                         const std::string& attempt_id) const;

  /// Queries the gate about an attempt for as long as no response arrives: first after `delay`, or
  /// as soon as the timer of the wait is cancelled by a planned stop.
  void ScheduleGateQuery(const std::shared_ptr<response_wait>& wait, milliseconds delay);

  /// Time without a response after which the attempt's connection may be dead while others work.
  milliseconds SilenceCheckDelay(const call_state& call) const;

  asio::awaitable<void> QueryGateWhileSilent(std::shared_ptr<response_wait> wait);

  /// Whether an attempt must end before anything is sent; sets its outcome then.
  bool EndsBeforeSending(const response_wait& wait, attempt_result& attempt) const;

  /// Sets the outcome of an attempt whose wait was ended without a response.
  static void ApplyWaitEnd(const response_wait& wait, attempt_result& attempt);

  /// Sends a request whose body is buffered.
  asio::awaitable<void> SendBuffered(request_parser& parser, const call_state& call,
                                     const gate_call& to_gate, attempt_result& attempt);

  /// Sends the header of a request whose body is not buffered with "Expect: 100-continue", and
  /// streams the body once the gate asks for it.
  asio::awaitable<void> SendStreaming(caller_session& caller, request_parser& parser,
                                      const call_state& call, const gate_call& to_gate,
                                      attempt_result& attempt);

  /// Reads the header of the gate's response. Leaves the attempt's response empty if none arrived.
  /// "100 Continue" counts as a response only if the gate was asked for it; after any other interim
  /// response the final one is still due, and the connection is closed.
  asio::awaitable<void> ReadGateResponse(caller_session& caller, const call_state& call,
                                         bool accepts_continue, attempt_result& attempt);

  /// Sets the outcome of an attempt from its response, which is the target's or the gate's own.
  asio::awaitable<void> ClassifyResponse(entry_worker_state& worker, member_record target,
                                         attempt_result& attempt);

  /// Reads a response to its end. Returns false if the connection cannot be reused.
  asio::awaitable<bool> ReadToEnd(connection& gate, response_parser& response);

  entry_dependencies deps_;
  peer_client& peers_;
  const proxy_settings& settings_;
  const stop_limits& stop_;
};

}  // namespace catkinmoor::proxy_internal
