#include "proxy/internal/attempt_sender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace catkinmoor::proxy_internal {
namespace {

// A gate remembers handed requests for at least this long, so its word on older ones is not taken.
constexpr milliseconds kGateMemory{30'000};
constexpr unsigned kLeastFailure = 500;
constexpr std::uint32_t kAnswerHeaderBytes = 64U << 10U;

}  // namespace

std::optional<milliseconds> attempt_sender::ObjectiveOf(const call_state& call) {
  if (call.chosen->target_latency.count() == 0) return std::nullopt;
  const auto spent = std::chrono::duration_cast<milliseconds>(Now() - call.started);
  return call.chosen->target_latency - spent;
}

asio::awaitable<request_fate> attempt_sender::AskGate(member_record target, std::string attempt_id,
                                                      time_point sent_at, bool spare_waiting,
                                                      milliseconds time_left) {
  const fence_request question{board_.self.Get().vm, std::move(attempt_id),
                               target.version.incarnation, spare_waiting};
  const milliseconds patience = std::min(settings_.fence_timeout, time_left);
  auto reply = co_await peers_.Fence(target.control, question, patience);
  if (!Ok(reply) || Now() - sent_at >= kGateMemory) co_return request_fate::kUnknown;
  co_return Value(reply).fate;
}

gate_call attempt_sender::MakeGateCall(const call_state& call, const member_record& target,
                                       const std::string& attempt_id) const {
  const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - Now());
  return {attempt_id,
          target.version.incarnation,
          target.target->instance,
          call.service,
          call.chosen->name,
          call.chosen->kind,
          left,
          call.chosen->repeatable,
          call.chosen->concurrency,
          call.chosen->queue,
          call.fingerprint,
          settings_.own_service,
          call.chosen->priority,
          call.request_id,
          ObjectiveOf(call)};
}

asio::awaitable<attempt_result> attempt_sender::Try(entry_worker& worker, connection& caller,
                                                    request_parser& parser, const call_state& call,
                                                    member_record target, std::string attempt_id) {
  attempt_result attempt;
  attempt.gate = worker.pool.TakeIdle(target.gate, settings_.idle_timeout);
  if (attempt.gate == nullptr) {
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - Now());
    const endpoint dialled = settings_.translation.Apply(target.gate);
    auto opened = co_await Connect(dialled, std::min(left, settings_.connect_timeout));
    if (!Ok(opened)) {
      attempt.failure = Failure(opened);
      co_return attempt;
    }
    attempt.gate = std::move(Value(opened));
  }
  board_.loads.OnSent(target.vm);
  const gate_call to_gate = MakeGateCall(call, target, attempt_id);
  if (call.streams) {
    co_await SendStreaming(caller, parser, call, to_gate, attempt);
  } else {
    co_await SendWhole(parser, call, to_gate, attempt);
  }
  const bool sent = attempt.outcome == attempt_outcome::kLost && attempt.answer == nullptr;
  if (sent && !attempt.caller_gone) {
    const auto wait = WatchSilence(call, attempt, target, attempt_id, Now());
    co_await ReadAnswer(caller, call, attempt);
    wait->active = false;
    wait->timer.cancel();
    TakeVerdict(*wait, attempt);
  }
  board_.loads.OnEnded(target.vm);
  if (attempt.answer != nullptr) co_await Classify(worker, target, attempt);
  if (attempt.failure.peer.empty()) attempt.failure.peer = ToString(target.gate);
  co_return attempt;
}

std::shared_ptr<answer_wait> attempt_sender::WatchSilence(const call_state& call,
                                                          const attempt_result& attempt,
                                                          const member_record& target,
                                                          const std::string& attempt_id,
                                                          time_point sent_at) {
  auto wait = std::make_shared<answer_wait>(attempt.gate->stream.get_executor());
  wait->gate = attempt.gate.get();
  wait->repeatable = call.chosen->repeatable && !call.streams;
  // A route's objective tells how long its answers usually take at most.
  const milliseconds objective = call.chosen->target_latency;
  const bool states_one = objective.count() > 0;
  wait->timer.expires_after(states_one ? std::min(objective, settings_.silence_check)
                                       : settings_.silence_check);
  wait->timer.async_wait(
      [this, wait, target, attempt_id, sent_at](const beast::error_code& failed) {
        if (failed || !wait->active) return;
        asio::co_spawn(wait->timer.get_executor(),
                       AskWhileSilent(wait, target, attempt_id, sent_at), asio::detached);
      });
  return wait;
}

asio::awaitable<void> attempt_sender::AskWhileSilent(std::shared_ptr<answer_wait> wait,
                                                     member_record target, std::string attempt_id,
                                                     time_point sent_at) {
  bool answered_before = false;
  while (wait->active) {
    const request_fate fate =
        co_await AskGate(target, attempt_id, sent_at, true, settings_.fence_timeout);
    if (!wait->active) co_return;
    const bool answered = fate == request_fate::kAnswered;
    // An answer may have been on its way when the gate was asked first.
    if (fate == request_fate::kNeverHanded || (answered && answered_before)) {
      wait->verdict = fate;
      wait->gate->stream.cancel();
      co_return;
    }
    const member_ptr present = board_.members.Find(target.vm);
    if (fate == request_fate::kUnknown &&
        GivesUpUnheard(wait->repeatable, present.get(), target.version.incarnation)) {
      wait->unheard = true;
      wait->gate->stream.cancel();
      co_return;
    }
    answered_before = answered;
    wait->timer.expires_after(settings_.silence_check);
    co_await wait->timer.async_wait(kAwait);
  }
}

void attempt_sender::TakeVerdict(const answer_wait& wait, attempt_result& attempt) {
  if (wait.unheard && attempt.answer == nullptr) {
    attempt.silent = true;
    attempt.caller_gone = false;
    attempt.gate_asked = true;
    attempt.reason = "unheard";
  }
  if (wait.verdict == request_fate::kUnknown || attempt.answer != nullptr) return;
  attempt.silent = true;
  attempt.gate_asked = true;
  attempt.caller_gone = false;
  if (wait.verdict == request_fate::kNeverHanded) attempt.outcome = attempt_outcome::kFencedNotRun;
  attempt.reason = "silent";
}

asio::awaitable<void> attempt_sender::SendWhole(request_parser& parser, const call_state& call,
                                                const gate_call& to_gate, attempt_result& attempt) {
  bhttp::request<bhttp::string_body> message(
      bhttp::request_header<>(static_cast<bhttp::request_header<>&>(parser.get())));
  message.body() = call.body;
  WriteCall(to_gate, message);
  message.set(kDepthHeader, std::to_string(call.depth + 1));
  message.version(11);
  message.keep_alive(true);
  if (!call.validator.empty()) {
    message.set(bhttp::field::range, "bytes=" + std::to_string(call.resume_at) + "-");
    message.set(bhttp::field::if_range, call.validator);
  }
  if (!call.body.empty()) message.prepare_payload();
  attempt.gate->stream.expires_at(call.deadline);
  auto [failed, count] = co_await bhttp::async_write(attempt.gate->stream, message, kAwait);
  attempt.outcome = count == 0 ? attempt_outcome::kNotSent : attempt_outcome::kLost;
  if (failed) attempt.failure = {error_kind::kUnavailable, "send", "", failed.message()};
  // A gate that refused and closed may have left its answer behind, so reading is tried.
}

asio::awaitable<void> attempt_sender::SendStreaming(connection& caller, request_parser& parser,
                                                    const call_state& call,
                                                    const gate_call& to_gate,
                                                    attempt_result& attempt) {
  request_message& message = parser.get();
  WriteCall(to_gate, message);
  message.set(kDepthHeader, std::to_string(call.depth + 1));
  message.set(bhttp::field::expect, "100-continue");
  message.version(11);
  {
    bhttp::request<bhttp::empty_body> offer(
        bhttp::request_header<>(static_cast<bhttp::request_header<>&>(message)));
    bhttp::request_serializer<bhttp::empty_body> serializer(offer);
    attempt.gate->stream.expires_at(call.deadline);
    auto [failed, count] =
        co_await bhttp::async_write_header(attempt.gate->stream, serializer, kAwait);
    if (failed) {
      attempt.outcome = count == 0 ? attempt_outcome::kNotSent : attempt_outcome::kLost;
      attempt.failure = {error_kind::kUnavailable, "send", "", failed.message()};
      co_return;
    }
  }
  attempt.outcome = attempt_outcome::kLost;
  co_await ReadAnswer(caller, call, attempt);
  if (attempt.answer == nullptr || attempt.answer->get().result_int() != 100) co_return;
  attempt.answer.reset();
  attempt.body_used = true;
  if (call.caller_expects) {
    const bool told = co_await SendContinue(caller, settings_.progress_timeout);
    if (!told) {
      attempt.caller_gone = true;
      Abort(*attempt.gate);
      co_return;
    }
  }
  const transfer_outcome sent =
      co_await TransferBody(caller, parser, *attempt.gate, call.body, settings_.progress_timeout);
  if (sent == transfer_outcome::kReadFailed) {
    attempt.caller_gone = true;
    Abort(*attempt.gate);
  }
}

asio::awaitable<void> attempt_sender::ReadAnswer(connection& caller, const call_state& call,
                                                 attempt_result& attempt) {
  auto parser = std::make_unique<response_parser>();
  parser->body_limit(boost::none);
  parser->header_limit(kAnswerHeaderBytes);
  parser->skip(call.head);
  bool gone = false;
  beast::error_code failed;
  {
    std::optional<disconnect_watch> watch;
    if (!call.streams) {
      watch.emplace(caller, [&] {
        gone = true;
        attempt.gate->stream.cancel();
      });
    }
    attempt.gate->stream.expires_at(call.deadline);
    auto [read_failed, count] = co_await bhttp::async_read_header(
        attempt.gate->stream, attempt.gate->buffer, *parser, kAwait);
    failed = read_failed;
  }
  if (!failed) {
    attempt.answer = std::move(parser);
    co_return;
  }
  Abort(*attempt.gate);
  attempt.caller_gone = gone;
  attempt.failure = {error_kind::kUnavailable, "await answer", "", failed.message()};
}

asio::awaitable<void> attempt_sender::Classify(entry_worker& worker, member_record target,
                                               attempt_result& attempt) {
  const auto& answer = attempt.answer->get();
  const std::string outcome(answer[kOutcomeHeader]);
  if (outcome == kRan) {
    const bool failed = answer.result_int() >= kLeastFailure;
    attempt.outcome = failed ? attempt_outcome::kFailed : attempt_outcome::kAnswered;
    if (failed) attempt.reason = "status-" + std::to_string(answer.result_int());
    co_return;
  }
  attempt.reason = std::string(answer[kReasonHeader]);
  const auto retry = answer[kRetryHeader];
  const auto retry_ms = ParseNumber({retry.data(), retry.size()});
  if (retry_ms) attempt.retry_after = milliseconds(*retry_ms);
  attempt.failure = {error_kind::kRefused, "gate", "", attempt.reason};
  if (outcome == kNotRun) {
    const bool load = attempt.reason == "queue-full" || attempt.reason == "too-late" ||
                      attempt.reason == kTargetRefused;
    attempt.outcome = load ? attempt_outcome::kRefusedByLoad : attempt_outcome::kRefused;
  } else {
    attempt.outcome = attempt_outcome::kLost;
    attempt.gate_asked = outcome == kUnknown;
  }
  co_await Discard(worker, std::move(target), attempt);
}

asio::awaitable<void> attempt_sender::Discard(entry_worker& worker, member_record target,
                                              attempt_result& attempt) {
  const bool reusable = co_await DropAnswer(*attempt.gate, *attempt.answer);
  if (reusable) worker.pool.Return(target.gate, std::move(attempt.gate), settings_.idle_timeout);
}

asio::awaitable<bool> attempt_sender::DropAnswer(connection& gate, response_parser& answer) {
  std::vector<char> block(kAnswerHeaderBytes);
  while (!answer.is_done()) {
    answer.get().body().data = block.data();
    answer.get().body().size = block.size();
    gate.stream.expires_after(settings_.progress_timeout);
    auto [failed, count] =
        co_await bhttp::async_read_some(gate.stream, gate.buffer, answer, kAwait);
    if (failed && failed != bhttp::error::need_buffer) co_return false;
  }
  co_return answer.keep_alive();
}

}  // namespace catkinmoor::proxy_internal
