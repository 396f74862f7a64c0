#include "proxy/internal/attempt_sender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/http/response_reader.h"
#include "framework/logging/log.h"
#include "proxy/internal/target_responses.h"
#include "proxy/internal/wait_policy.h"

namespace catkinmoor::proxy_internal {
namespace {

// A gate remembers forwarded requests for at least this long. Its reply about an older one is
// ignored, because it may have forgotten that it forwarded the request.
constexpr milliseconds kGateRetention{30'000};
constexpr unsigned kContinueStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMinFailureStatus = 500;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;

milliseconds TimeUntil(time_point moment) {
  return std::chrono::duration_cast<milliseconds>(moment - Now());
}

const char* MemberStateName(const member_record* member) {
  return member == nullptr ? "absent" : StateName(member->version.state);
}

/// Logs what is known about a gate that does not answer a query, once for each state of its member.
void LogUnansweredQuery(response_wait& wait, const member_record* present, bool stopping) {
  const char* const state = MemberStateName(present);
  if (wait.logged_member_state == state) return;
  wait.logged_member_state = state;
  const std::uint64_t incarnation = present == nullptr ? 0 : present->version.incarnation;
  const auto waited = std::chrono::duration_cast<milliseconds>(Now() - wait.sent_at);
  logging::Info("gate does not answer about a request",
                {{"attempt", wait.attempt_id},
                 {"vm", wait.target.vm},
                 {"member_state", state},
                 {"asked_incarnation", static_cast<std::int64_t>(wait.target.version.incarnation)},
                 {"present_incarnation", static_cast<std::int64_t>(incarnation)},
                 {"waited_ms", waited.count()},
                 {"stopping", stopping}});
}

}  // namespace

std::optional<milliseconds> attempt_sender::RemainingObjective(const call_state& call) {
  if (call.matched_route->latency_objective.count() == 0) return std::nullopt;
  const auto spent = std::chrono::duration_cast<milliseconds>(Now() - call.started);
  return call.matched_route->latency_objective - spent;
}

asio::awaitable<std::optional<request_fate>> attempt_sender::QueryGate(member_record target,
                                                                       std::string attempt_id,
                                                                       time_point sent_at,
                                                                       bool except_waiting,
                                                                       milliseconds time_left) {
  const fence_request request{deps_.self.Get().vm, std::move(attempt_id),
                              target.version.incarnation, except_waiting};
  const milliseconds timeout = std::min(settings_.fence_timeout, time_left);
  auto reply = co_await peers_.Fence(target.control, request, timeout);
  if (!Ok(reply) || Now() - sent_at >= kGateRetention) co_return std::nullopt;
  co_return Value(reply).fate;
}

gate_call attempt_sender::MakeGateCall(const call_state& call, const member_record& target,
                                       const std::string& attempt_id) const {
  return {attempt_id,
          target.version.incarnation,
          target.target->instance,
          call.service,
          call.matched_route->name,
          call.matched_route->traffic_class,
          TimeUntil(stop_.LimitDeadline(call.deadline)),
          call.matched_route->repeatable,
          call.matched_route->concurrency,
          call.matched_route->queue,
          call.fingerprint,
          settings_.own_service,
          call.priority,
          call.request_id,
          RemainingObjective(call),
          deps_.loads.Limit(target.vm, target.target->instance),
          call.key_valid_until};
}

asio::awaitable<attempt_result> attempt_sender::MakeAttempt(entry_worker_state& worker,
                                                            caller_session& caller,
                                                            request_parser& parser,
                                                            const call_state& call,
                                                            std::shared_ptr<response_wait> wait) {
  const member_record& target = wait->target;
  attempt_result attempt;
  attempt.gate = worker.pool.TakeIdle(target.gate, settings_.idle_timeout);
  if (attempt.gate == nullptr) {
    const endpoint gate_address = settings_.translation.Translate(target.gate);
    const milliseconds timeout = std::min(TimeUntil(call.deadline), settings_.connect_timeout);
    auto opened = co_await Connect(gate_address, timeout);
    if (!Ok(opened)) {
      attempt.failure = Failure(opened);
      co_return attempt;
    }
    attempt.gate = std::move(Value(opened));
  }
  if (EndsBeforeSending(*wait, attempt)) co_return attempt;
  deps_.loads.OnRequestStarted(target.vm);
  const gate_call to_gate = MakeGateCall(call, target, wait->attempt_id);
  wait->gate = attempt.gate.get();
  wait->active = true;
  wait->sent_at = Now();
  worker.response_waits.insert(wait.get());
  ScheduleGateQuery(wait, TimeUntil(call.deadline));
  if (call.streams_body) {
    co_await SendStreaming(caller, parser, call, to_gate, attempt);
  } else {
    co_await SendBuffered(parser, call, to_gate, attempt);
  }
  const bool awaiting_response =
      attempt.outcome == attempt_outcome::kLost && attempt.response == nullptr;
  if (awaiting_response && !attempt.caller_disconnected) {
    body_upload* const upload = attempt.upload.get();
    if (upload == nullptr) {
      ScheduleGateQuery(wait, SilenceCheckDelay(call));
    } else {
      upload->OnDone([&, upload] {
        if (upload->Outcome() == transfer_outcome::kReadFailed) {
          Abort(*attempt.gate);
        } else {
          ScheduleGateQuery(wait, SilenceCheckDelay(call));
        }
      });
    }
    co_await ReadGateResponse(caller, call, /*accepts_continue=*/false, attempt);
    if (upload != nullptr) {
      upload->OnDone(nullptr);
      const bool caller_failed =
          upload->IsDone() && upload->Outcome() == transfer_outcome::kReadFailed;
      attempt.caller_disconnected = caller_failed && attempt.response == nullptr;
    }
  }
  worker.response_waits.erase(wait.get());
  wait->active = false;
  wait->timer.cancel();
  if (awaiting_response) ApplyWaitEnd(*wait, attempt);
  deps_.loads.OnRequestEnded(target.vm);
  if (attempt.response != nullptr) co_await ClassifyResponse(worker, target, attempt);
  const bool delivers = attempt.outcome == attempt_outcome::kResponded ||
                        attempt.outcome == attempt_outcome::kFailureResponse;
  if (!delivers && attempt.upload != nullptr) co_await attempt.upload->Stop();
  if (attempt.failure.peer.empty()) attempt.failure.peer = ToString(target.gate);
  co_return attempt;
}

bool attempt_sender::EndsBeforeSending(const response_wait& wait, attempt_result& attempt) const {
  if (wait.superseded) return true;
  if (!stop_.AttemptsEnded()) return false;
  attempt.outcome = attempt_outcome::kRefused;
  attempt.reason = kReasonDraining;
  attempt.failure = {error_kind::kRefused, "entry", "", "the daemon is stopping"};
  return true;
}

void attempt_sender::Supersede(response_wait& wait) {
  wait.superseded = true;
  if (wait.active) Abort(*wait.gate);
}

milliseconds attempt_sender::SilenceCheckDelay(const call_state& call) const {
  // A route's latency objective is an upper bound of its usual response time.
  const milliseconds objective = call.matched_route->latency_objective;
  const bool has_objective = objective.count() > 0;
  return has_objective ? std::min(objective, settings_.silence_check_interval)
                       : settings_.silence_check_interval;
}

void attempt_sender::ScheduleGateQuery(const std::shared_ptr<response_wait>& wait,
                                       milliseconds delay) {
  if (wait->is_querying_gate) return;
  wait->timer.expires_after(delay);
  wait->timer.async_wait([this, wait](const beast::error_code& cancelled) {
    const bool rescheduled = cancelled && !stop_.AttemptsEnded();
    if (rescheduled || !wait->active || wait->is_querying_gate) return;
    wait->is_querying_gate = true;
    asio::co_spawn(wait->timer.get_executor(), QueryGateWhileSilent(wait), asio::detached);
  });
}

asio::awaitable<void> attempt_sender::QueryGateWhileSilent(std::shared_ptr<response_wait> wait) {
  const member_record& target = wait->target;
  bool responded_before = false;
  while (wait->active) {
    const bool stopping = stop_.AttemptsEnded();
    const std::optional<request_fate> reply = co_await QueryGate(
        target, wait->attempt_id, wait->sent_at, !stopping, settings_.fence_timeout);
    if (!wait->active) co_return;
    const member_ptr present = deps_.members.Find(target.vm);
    if (!reply) LogUnansweredQuery(*wait, present.get(), stopping);
    const response_prospect prospect =
        AssessResponse({reply, responded_before, present.get(), target.version.incarnation});
    if (prospect == response_prospect::kImpossible) {
      wait->never_forwarded = true;
      wait->ended_by_stop = stopping;
      Abort(*wait->gate);
      co_return;
    }
    if (prospect == response_prospect::kDoubtful && !wait->in_doubt) {
      wait->in_doubt = true;
      wait->gate_replies = reply.has_value();
      if (wait->on_doubt) wait->on_doubt();
    }
    responded_before = reply == request_fate::kResponded;
    if (!stopping && stop_.AttemptsEnded()) continue;
    wait->timer.expires_after(settings_.silence_check_interval);
    co_await wait->timer.async_wait(kAwait);
  }
}

void attempt_sender::ApplyWaitEnd(const response_wait& wait, attempt_result& attempt) {
  if (attempt.response != nullptr || (!wait.never_forwarded && !wait.ended_by_stop)) return;
  attempt.connection_silent = !wait.ended_by_stop;
  attempt.gate_queried = true;
  attempt.caller_disconnected = false;
  if (wait.never_forwarded) attempt.outcome = attempt_outcome::kFenced;
  attempt.reason = wait.ended_by_stop ? kReasonDraining : "silent";
}

asio::awaitable<void> attempt_sender::SendBuffered(request_parser& parser, const call_state& call,
                                                   const gate_call& to_gate,
                                                   attempt_result& attempt) {
  bhttp::request<bhttp::string_body> message(
      bhttp::request_header<>(static_cast<bhttp::request_header<>&>(parser.get())));
  message.body() = call.body;
  WriteCallHeaders(to_gate, message);
  message.set(kDepthHeader, std::to_string(call.depth + 1));
  message.version(11);
  message.keep_alive(true);
  if (!call.resume_validator.empty()) {
    message.set(bhttp::field::range, "bytes=" + std::to_string(call.resume_offset) + "-");
    message.set(bhttp::field::if_range, call.resume_validator);
  }
  if (!call.body.empty()) message.prepare_payload();
  attempt.gate->stream.expires_at(call.deadline);
  auto [failed, count] = co_await bhttp::async_write(attempt.gate->stream, message, kAwait);
  attempt.outcome = count == 0 ? attempt_outcome::kNotSent : attempt_outcome::kLost;
  if (failed) attempt.failure = {error_kind::kUnavailable, "send", "", failed.message()};
  // Even after a failed write, a gate that refused and closed may have sent a response, so the
  // caller of this function still reads.
}

asio::awaitable<void> attempt_sender::SendStreaming(caller_session& caller, request_parser& parser,
                                                    const call_state& call,
                                                    const gate_call& to_gate,
                                                    attempt_result& attempt) {
  request_message& message = parser.get();
  WriteCallHeaders(to_gate, message);
  message.set(kDepthHeader, std::to_string(call.depth + 1));
  message.set(bhttp::field::expect, "100-continue");
  message.version(11);
  {
    bhttp::request<bhttp::empty_body> header_only(
        bhttp::request_header<>(static_cast<bhttp::request_header<>&>(message)));
    bhttp::request_serializer<bhttp::empty_body> serializer(header_only);
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
  co_await ReadGateResponse(caller, call, /*accepts_continue=*/true, attempt);
  if (attempt.response == nullptr || attempt.response->get().result_int() != kContinueStatus) {
    co_return;
  }
  attempt.response.reset();
  attempt.body_consumed = true;
  if (call.expects_continue) {
    const bool continue_sent = co_await SendContinue(caller.Caller(), settings_.progress_timeout);
    if (!continue_sent) {
      attempt.caller_disconnected = true;
      Abort(*attempt.gate);
      co_return;
    }
  }
  attempt.upload = std::make_shared<body_upload>(caller.Caller(), parser, *attempt.gate,
                                                 settings_.progress_timeout);
  attempt.upload->StartBody(call.body);
}

asio::awaitable<void> attempt_sender::ReadGateResponse(caller_session& caller,
                                                       const call_state& call,
                                                       bool accepts_continue,
                                                       attempt_result& attempt) {
  auto parser = std::make_unique<response_parser>();
  parser->body_limit(boost::none);
  parser->header_limit(kMaxResponseHeaderBytes);
  parser->skip(call.is_head);
  bool caller_gone = false;
  http::head_result head;
  {
    std::optional<cancel_on_close> watch;
    if (!call.streams_body) {
      if (caller.IsClosed()) {
        Abort(*attempt.gate);
        attempt.caller_disconnected = true;
        co_return;
      }
      watch.emplace(caller, [&] {
        caller_gone = true;
        attempt.gate->stream.cancel();
      });
    }
    attempt.gate->stream.expires_at(call.deadline);
    head = co_await http::ReadResponseHead(attempt.gate->stream, attempt.gate->buffer, *parser,
                                           kMaxResponseHeaderBytes);
  }
  const unsigned status = head.failed ? 0 : parser->get().result_int();
  if (status >= kMinFinalStatus || (accepts_continue && status == kContinueStatus)) {
    attempt.response = std::move(parser);
    co_return;
  }
  Abort(*attempt.gate);
  attempt.caller_disconnected = caller_gone;
  attempt.failure = {error_kind::kUnavailable, "await answer", "",
                     head.failed ? head.Message() : "unexpected interim response"};
}

asio::awaitable<void> attempt_sender::ClassifyResponse(entry_worker_state& worker,
                                                       member_record target,
                                                       attempt_result& attempt) {
  const auto& response = attempt.response->get();
  const std::string outcome(response[kOutcomeHeader]);
  if (outcome == kOutcomeRan) {
    const bool failed = response.result_int() >= kMinFailureStatus;
    attempt.outcome = failed ? attempt_outcome::kFailureResponse : attempt_outcome::kResponded;
    if (failed) attempt.reason = "status-" + std::to_string(response.result_int());
    co_return;
  }
  attempt.reason = std::string(response[kReasonHeader]);
  const auto retry_after = response[kRetryAfterHeader];
  const auto retry_after_ms = ParseInteger({retry_after.data(), retry_after.size()});
  if (retry_after_ms) attempt.retry_after = milliseconds(*retry_after_ms);
  attempt.failure = {error_kind::kRefused, "gate", "", attempt.reason};
  if (outcome == kOutcomeNotRun) {
    const bool overloaded = attempt.reason == "queue-full" || attempt.reason == "too-late" ||
                            attempt.reason == kReasonTargetRefused;
    attempt.outcome = overloaded ? attempt_outcome::kRefusedOverload : attempt_outcome::kRefused;
  } else {
    attempt.outcome = attempt_outcome::kLost;
    attempt.gate_queried = outcome == kOutcomeUnknown;
  }
  co_await DiscardResponse(worker, std::move(target), attempt);
}

asio::awaitable<void> attempt_sender::DiscardResponse(entry_worker_state& worker,
                                                      member_record target,
                                                      attempt_result& attempt) {
  if (attempt.upload != nullptr && !attempt.upload->IsComplete()) {
    co_await attempt.upload->Stop();
    co_return;
  }
  const bool reusable = co_await ReadToEnd(*attempt.gate, *attempt.response);
  if (reusable) worker.pool.Return(target.gate, std::move(attempt.gate), settings_.idle_timeout);
}

asio::awaitable<bool> attempt_sender::ReadToEnd(connection& gate, response_parser& response) {
  const bool discarded = co_await DiscardResponseBody(gate, response, DiscardDeadline());
  co_return discarded&& response.keep_alive();
}

}  // namespace catkinmoor::proxy_internal
