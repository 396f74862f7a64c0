#pragma once

#include "peer/peer_transport.h"
#include "proxy/entry_proxy.h"
#include "proxy/internal/entry_call.h"

namespace catkinmoor::proxy_internal {

/// Makes one attempt to have a request run: sends it to a gate and reads the header of the answer.
class attempt_sender {
 public:
  attempt_sender(entry_board board, peer_client& peers, const proxy_settings& settings)
      : board_(board), peers_(peers), settings_(settings) {}

  /// Asks the gate over another connection what became of an attempt.
  asio::awaitable<request_fate> AskGate(member_record target, std::string attempt_id,
                                        time_point sent_at, bool spare_waiting,
                                        milliseconds time_left);

  asio::awaitable<attempt_result> Try(entry_worker& worker, connection& caller,
                                      request_parser& parser, const call_state& call,
                                      member_record target, std::string attempt_id);

  /// Reads an answer that is not delivered to its end, and keeps its connection if it can be used.
  asio::awaitable<void> Discard(entry_worker& worker, member_record target,
                                attempt_result& attempt);

 private:
  static std::optional<milliseconds> ObjectiveOf(const call_state& call);

  gate_call MakeGateCall(const call_state& call, const member_record& target,
                         const std::string& attempt_id) const;

  /// Has the gate asked about an attempt for as long as no answer comes. The connection may have
  /// gone silent while others work.
  std::shared_ptr<answer_wait> WatchSilence(const call_state& call, const attempt_result& attempt,
                                            const member_record& target,
                                            const std::string& attempt_id, time_point sent_at);

  asio::awaitable<void> AskWhileSilent(std::shared_ptr<answer_wait> wait, member_record target,
                                       std::string attempt_id, time_point sent_at);

  static void TakeVerdict(const answer_wait& wait, attempt_result& attempt);

  /// Sends a request whose body is at hand.
  asio::awaitable<void> SendWhole(request_parser& parser, const call_state& call,
                                  const gate_call& to_gate, attempt_result& attempt);

  /// Offers a request whose body is not at hand, and streams the body once the gate asks for it.
  asio::awaitable<void> SendStreaming(connection& caller, request_parser& parser,
                                      const call_state& call, const gate_call& to_gate,
                                      attempt_result& attempt);

  /// Reads the header of the gate's answer. Leaves the answer empty when none came.
  asio::awaitable<void> ReadAnswer(connection& caller, const call_state& call,
                                   attempt_result& attempt);

  /// Tells a target's answer from the gate's own words.
  asio::awaitable<void> Classify(entry_worker& worker, member_record target,
                                 attempt_result& attempt);

  /// Reads a short answer to its end. False when the connection cannot be used again.
  asio::awaitable<bool> DropAnswer(connection& gate, response_parser& answer);

  entry_board board_;
  peer_client& peers_;
  const proxy_settings& settings_;
};

}  // namespace catkinmoor::proxy_internal
