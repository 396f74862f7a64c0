#pragma once

#include <atomic>

#include "proxy/internal/attempt_sender.h"
#include "routing/target_selector.h"

namespace catkinmoor::proxy_internal {

/// Carries a request whose route is known: picks targets, makes attempts, and delivers the answer
/// of one of them or says truthfully what became of the request.
class call_carrier {
 public:
  call_carrier(entry_board board, peer_client& peers, const proxy_settings& settings,
               const std::atomic<bool>& draining)
      : board_(board), settings_(settings), draining_(draining), sender_(board, peers, settings) {}

  /// Tries targets until an answer can be delivered or none may be tried any more.
  asio::awaitable<bool> Carry(entry_worker& worker, connection& caller, request_parser& parser,
                              call_state& call);

  asio::awaitable<bool> AnswerOwn(connection& caller, request_parser& parser,
                                  const call_state& call, own_answer answer);

 private:
  next_step Decide(const call_state& call, attempt_state state, attempt_outcome outcome);

  selection_context MakeContext() const;

  void NoteLoad(const call_state& call, const member_record& target, const attempt_result& attempt);

  /// Sends a target's answer on to the caller.
  asio::awaitable<bool> Deliver(entry_worker& worker, connection& caller, request_parser& parser,
                                call_state& call, selection_context context, member_record target,
                                attempt_result attempt);

  /// Whether the rest of an answer may come from another target: a whole, counted one of a
  /// repeatable request, whose strong entity tag tells that the other's bytes are the same.
  static bool CanResume(const request_message& request, const call_state& call,
                        const response_parser& answer);

  /// Goes on with an answer that broke off, from other targets.
  asio::awaitable<transfer_outcome> Resume(entry_worker& worker, connection& caller,
                                           request_parser& parser, call_state& call,
                                           selection_context context, answer_writer& writer);

  /// Whether an attempt's answer is the rest that was asked for, of the same entity.
  static bool GoesOn(const attempt_result& attempt, const call_state& call);

  static metrics::labels LabelsOf(const call_state& call);

  void Count(const char* name, const call_state& call);

  void Record(const call_state& call, unsigned status, const char* outcome);

  entry_board board_;
  const proxy_settings& settings_;
  const std::atomic<bool>& draining_;
  attempt_sender sender_;
};

}  // namespace catkinmoor::proxy_internal
