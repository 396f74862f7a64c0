#include "proxy/internal/call_dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/base/digest.h"
#include "framework/logging/log.h"
#include "proxy/internal/key_admission.h"
#include "proxy/internal/target_responses.h"
#include "proxy/internal/wire/message_fields.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr int kMaxResumes = 3;
// Time without progress after which the rest of a body is not sent any more once its response has
// been delivered.
constexpr milliseconds kMaxUploadPause{1'000};
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

std::int64_t DocumentVersion(const call_state& call) {
  return call.document == nullptr ? 0 : static_cast<std::int64_t>(call.document->source.version);
}

void LogLocalResponse(const call_state& call, const local_response& response) {
  const auto spent = std::chrono::duration_cast<milliseconds>(Now() - call.started);
  const auto allowed = std::chrono::duration_cast<milliseconds>(call.deadline - call.started);
  logging::Info(
      "request not served",
      {{"request", call.request_id},
       {"status", static_cast<std::int64_t>(response.status)},
       {"outcome", response.outcome},
       {"reason", response.reason},
       {"step", response.failure.step},
       {"peer", response.failure.peer},
       {"message", response.failure.message},
       {"service", call.service},
       {"route", call.matched_route == nullptr ? std::string_view() : call.matched_route->name},
       {"version", DocumentVersion(call)},
       {"spent_ms", spent.count()},
       {"deadline_ms", allowed.count()},
       {"retry_after_ms", response.retry_after.count()}});
}

/// Logs why an attempt yielded no response to deliver, and the next step.
void LogAttempt(const call_state& call, const dispatched_attempt& attempt, next_step next) {
  const target_load& load = attempt.load;
  const attempt_result& result = attempt.result;
  const auto age = std::chrono::duration_cast<milliseconds>(attempt.chosen_at - load.reported_at);
  const bool reported = load.reported_at != time_point{};
  logging::Info("attempt failed", {{"request", call.request_id},
                                   {"attempt", attempt.wait->attempt_id},
                                   {"vm", attempt.Target().vm},
                                   {"instance", attempt.Target().target->instance},
                                   {"outcome", OutcomeName(result.outcome)},
                                   {"reason", result.reason},
                                   {"step", result.failure.step},
                                   {"message", result.failure.message},
                                   {"next", StepName(next)},
                                   {"load_in_use", static_cast<std::int64_t>(load.reported.in_use)},
                                   {"load_queued", static_cast<std::int64_t>(load.reported.queued)},
                                   {"load_age_ms", reported ? age.count() : -1},
                                   {"version", DocumentVersion(call)}});
}

/// Logs what follows from the doubt about an attempt's response.
void LogDoubt(const call_state& call, const dispatched_attempt& attempt, next_step next) {
  const auto waited = std::chrono::duration_cast<milliseconds>(Now() - attempt.wait->sent_at);
  logging::Info("response in doubt", {{"request", call.request_id},
                                      {"attempt", attempt.wait->attempt_id},
                                      {"vm", attempt.Target().vm},
                                      {"gate_replies", attempt.wait->gate_replies},
                                      {"waited_ms", waited.count()},
                                      {"next", next == next_step::kRetry ? StepName(next) : "wait"},
                                      {"version", DocumentVersion(call)}});
}

cost_key CostKeyOf(const call_state& call) {
  return {call.matched_route->name,
          call.caller_workspace == nullptr ? std::string() : call.caller_workspace->name,
          call.body.size()};
}

/// Whether the request has crashed so many targets that it is not given to another one.
bool IsPoison(const dispatched_call& dispatched) {
  return dispatched.crashes >= quarantine_board::kCrashThreshold;
}

/// Whether an attempt is under way whose response is expected.
bool HasAttemptWithoutDoubt(const dispatched_call& dispatched) {
  return std::any_of(dispatched.running.begin(), dispatched.running.end(),
                     [](const auto& each) { return !each->wait->in_doubt; });
}

/// A local response to a request that may have run.
local_response UnknownResponse(const call_state& call, error failure) {
  const unsigned status = Now() >= call.deadline ? kGatewayTimeout : kBadGateway;
  return {status, kOutcomeUnknown, "lost", std::move(failure)};
}

}  // namespace

milliseconds call_dispatcher::TimeLeft(const call_state& call) const {
  const auto left = stop_.LimitDeadline(call.deadline) - Now();
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(left));
}

bool call_dispatcher::WillOutlastStop(const call_state& call, const target_load& load) const {
  if (stop_.LimitDeadline(call.deadline) == call.deadline) return false;
  const auto traffic_class = static_cast<std::size_t>(call.matched_route->traffic_class);
  return load.service_ms[traffic_class] > static_cast<double>(TimeLeft(call).count());
}

asio::awaitable<bool> call_dispatcher::Dispatch(entry_worker_state& worker, caller_session& caller,
                                                request_parser& parser, call_state& call) {
  deps_.budget.OnFirstAttempt(call.service, call.document->content.retry_budget, call.started);
  dispatched_call dispatched(worker, caller, parser, call, MakeSelectionContext(call));
  dispatched_attempt_ptr chosen = co_await MakeAttempts(dispatched);
  SupersedeOthers(dispatched);
  bool keep_open = false;
  if (!dispatched.caller_left) keep_open = co_await Respond(dispatched, std::move(chosen));
  co_await AwaitEndOfAll(dispatched);
  co_return keep_open;
}

asio::awaitable<dispatched_attempt_ptr> call_dispatcher::MakeAttempts(dispatched_call& dispatched) {
  next_step next = next_step::kRetry;
  for (;;) {
    if (next == next_step::kRetry) StartAttempt(dispatched);
    if (dispatched.caller_left || dispatched.running.empty()) co_return nullptr;
    // A failure that can be delivered is not held back for responses in doubt.
    if (dispatched.failed != nullptr && !HasAttemptWithoutDoubt(dispatched)) co_return nullptr;
    dispatched_attempt_ptr attempt = co_await AwaitChange(dispatched);
    if (!attempt->ended) {
      next = DecideInDoubt(dispatched, *attempt);
      continue;
    }
    next = co_await DecideAfterEnd(dispatched, *attempt);
    if (next == next_step::kDeliverResponse) co_return attempt;
    if (attempt->result.outcome == attempt_outcome::kFailureResponse) dispatched.failed = attempt;
  }
}

void call_dispatcher::StartAttempt(dispatched_call& dispatched) {
  const call_state& call = dispatched.call;
  const member_ptr target = ChooseTarget(dispatched);
  if (target == nullptr) {
    attempt_state state = dispatched.attempts;
    state.may_have_run = state.may_have_run || !dispatched.running.empty();
    if (FinalStep(state) == next_step::kReportUnknown) {
      dispatched.fallback = UnknownResponse(call, std::move(dispatched.fallback.failure));
    }
    return;
  }
  dispatched.context.tried_vms.insert(target->vm);
  // The caller may have disconnected before its request was read or between two attempts.
  caller_session& caller = dispatched.caller;
  if (!call.streams_body && (caller.IsClosed() || IsClosed(caller.Caller()))) {
    CountMetric("catkinmoor_callers_gone_total", call);
    dispatched.caller_left = true;
    return;
  }
  ++dispatched.attempts.attempts_made;
  if (dispatched.attempts.attempts_made > 1) CountMetric("catkinmoor_retries_total", call);
  if (!dispatched.running.empty()) CountMetric("catkinmoor_parallel_attempts_total", call);
  const auto executor = caller.Caller().stream.get_executor();
  const auto wait = std::make_shared<response_wait>(executor, *target, RandomId());
  const auto attempt = std::make_shared<dispatched_attempt>(
      wait, deps_.loads.Get(target->vm), BeginEvidence(deps_.versions, call, *target));
  if (!call.streams_body) {
    wait->on_doubt = [&dispatched] { dispatched.changed.cancel(); };
  }
  dispatched.running.push_back(attempt);
  asio::co_spawn(executor, RunAttempt(this, &dispatched, caller.shared_from_this(), attempt),
                 asio::detached);
}

member_ptr call_dispatcher::ChooseTarget(dispatched_call& dispatched) {
  call_state& call = dispatched.call;
  const document& content = call.document->content;
  selection_context& context = dispatched.context;
  context.now = Now();
  context.spent = std::chrono::duration_cast<milliseconds>(context.now - call.started);
  const auto eligible =
      RestrictVersions(deps_.versions, call, dispatched.attempts.attempts_made == 0,
                       EligibleTargets(content, call.split, deps_.members.TargetsOf(call.service)));
  member_ptr target = PickTarget(eligible, content, *call.matched_route, context, deps_.loads,
                                 dispatched.worker.random);
  if (target == nullptr) return nullptr;
  if (WillOutlastStop(call, deps_.loads.Get(target->vm))) {
    dispatched.fallback = NotRunResponse(503, kReasonDraining, "pick target",
                                         "the daemon stops before a response is expected");
    return nullptr;
  }
  if (auto refused = RenewKey(deps_, call)) {
    dispatched.fallback = std::move(*refused);
    return nullptr;
  }
  return target;
}

asio::awaitable<void> call_dispatcher::RunAttempt(call_dispatcher* self,
                                                  dispatched_call* dispatched,
                                                  std::shared_ptr<caller_session> session,
                                                  dispatched_attempt_ptr attempt) {
  attempt_result result = co_await self->sender_.MakeAttempt(
      dispatched->worker, *session, dispatched->parser, dispatched->call, attempt->wait);
  // The call may have been answered, and be gone, while the attempt was still connecting.
  if (attempt->wait->superseded && !attempt->wait->IsSent()) co_return;
  attempt->result = std::move(result);
  attempt->ended = true;
  dispatched->changed.cancel();
}

asio::awaitable<dispatched_attempt_ptr> call_dispatcher::AwaitChange(dispatched_call& dispatched) {
  auto& running = dispatched.running;
  const auto has_response = [](const dispatched_attempt_ptr& each) {
    return each->ended && each->result.outcome == attempt_outcome::kResponded;
  };
  const auto has_ended = [](const dispatched_attempt_ptr& each) { return each->ended; };
  const auto has_new_doubt = [](const dispatched_attempt_ptr& each) {
    return each->wait->in_doubt && !each->doubt_handled;
  };
  for (;;) {
    auto found = std::find_if(running.begin(), running.end(), has_response);
    if (found == running.end()) found = std::find_if(running.begin(), running.end(), has_ended);
    if (found != running.end()) {
      dispatched_attempt_ptr ended = *found;
      running.erase(found);
      co_return ended;
    }
    found = std::find_if(running.begin(), running.end(), has_new_doubt);
    if (found != running.end()) {
      (*found)->doubt_handled = true;
      co_return *found;
    }
    co_await dispatched.changed.async_wait(kAwait);
  }
}

next_step call_dispatcher::DecideInDoubt(dispatched_call& dispatched,
                                         const dispatched_attempt& attempt) {
  const member_record& target = attempt.Target();
  dispatched.worker.pool.CloseIdle(target.gate);
  if (attempt.wait->gate_replies) {
    // The target itself may be healthy, so it may be tried again over a new connection.
    CountMetric("catkinmoor_silent_connections_total", dispatched.call);
    dispatched.context.tried_vms.erase(target.vm);
  } else {
    deps_.loads.OnConnectionFailure(target.vm, Now());
  }
  attempt_state state = dispatched.attempts;
  state.outcome = attempt_outcome::kLost;
  state.gate_queried = true;
  const next_step next =
      IsPoison(dispatched) ? next_step::kReportUnknown : DecideNextStep(dispatched, state);
  LogDoubt(dispatched.call, attempt, next);
  return next;
}

asio::awaitable<next_step> call_dispatcher::DecideAfterEnd(dispatched_call& dispatched,
                                                           dispatched_attempt& attempt) {
  const call_state& call = dispatched.call;
  const member_record& target = attempt.Target();
  attempt_result& result = attempt.result;
  attempt_state& state = dispatched.attempts;
  if (result.caller_disconnected) {
    dispatched.caller_left = true;
    co_return next_step::kReportUnknown;
  }
  // An unanswered query counted as a failed connection when it put the response in doubt.
  const bool counted_as_failed = result.outcome == attempt_outcome::kLost &&
                                 attempt.doubt_handled && !attempt.wait->gate_replies;
  if (!counted_as_failed) RecordLoad(call, target, result);
  if (result.connection_silent) {
    // The target itself may be healthy, so it may be tried again over a new connection.
    CountMetric("catkinmoor_silent_connections_total", call);
    dispatched.worker.pool.CloseIdle(target.gate);
    dispatched.context.tried_vms.erase(target.vm);
  }
  state.outcome = result.outcome;
  state.body_replayable = state.body_replayable && !result.body_consumed;
  state.gate_queried = result.gate_queried;
  if (result.reason == kReasonTargetCrashed) ++dispatched.crashes;
  // An attempt started beside this one goes on in its place.
  const bool replaced =
      result.outcome != attempt_outcome::kResponded && HasAttemptWithoutDoubt(dispatched);
  next_step next = replaced ? next_step::kReportUnknown : DecideNextStep(dispatched, state);
  // A request that has crashed two targets is not tried on a third.
  if (IsPoison(dispatched) && next == next_step::kRetry) next = next_step::kReportUnknown;
  if (next == next_step::kQueryGate) {
    // The query would delay the response of another attempt.
    const bool alone = dispatched.running.empty();
    next = next_step::kReportUnknown;
    if (alone) next = co_await DecideByGate(dispatched, attempt);
  }
  RecordEvidence(attempt.evidence, result, attempt.chosen_at);
  if (next == next_step::kDeliverResponse) co_return next;
  LogAttempt(call, attempt, next);
  const bool failed = result.outcome == attempt_outcome::kFailureResponse;
  state.may_have_run = state.may_have_run || failed || result.outcome == attempt_outcome::kLost;
  if (failed) co_return next;
  if (next == next_step::kReportUnknown) {
    dispatched.fallback = UnknownResponse(call, std::move(result.failure));
    if (result.reason == kReasonDeadline) dispatched.fallback.status = kGatewayTimeout;
    co_return next;
  }
  const std::string reason = result.reason.empty() ? "not-reached" : result.reason;
  dispatched.fallback = {503, kOutcomeNotRun, reason, std::move(result.failure),
                         result.retry_after};
  co_return next;
}

asio::awaitable<next_step> call_dispatcher::DecideByGate(dispatched_call& dispatched,
                                                         dispatched_attempt& attempt) {
  const call_state& call = dispatched.call;
  CountMetric("catkinmoor_fences_total", call);
  const std::optional<request_fate> fate = co_await sender_.QueryGate(
      attempt.Target(), attempt.wait->attempt_id, attempt.chosen_at, false, TimeLeft(call));
  if (fate == request_fate::kNeverForwarded) attempt.result.outcome = attempt_outcome::kFenced;
  attempt_state& state = dispatched.attempts;
  state.gate_queried = true;
  state.outcome = attempt.result.outcome;
  co_return DecideNextStep(dispatched, state);
}

void call_dispatcher::SupersedeOthers(dispatched_call& dispatched) {
  std::erase_if(dispatched.running, [](const dispatched_attempt_ptr& each) {
    if (!each->ended) attempt_sender::Supersede(*each->wait);
    // An attempt that still connects sends nothing any more, and uses the call no further.
    return each->ended || !each->wait->IsSent();
  });
}

asio::awaitable<void> call_dispatcher::AwaitEndOfAll(dispatched_call& dispatched) {
  while (!dispatched.running.empty()) {
    std::erase_if(dispatched.running, [](const auto& each) { return each->ended; });
    if (dispatched.running.empty()) co_return;
    co_await dispatched.changed.async_wait(kAwait);
  }
}

asio::awaitable<bool> call_dispatcher::Respond(dispatched_call& dispatched,
                                               dispatched_attempt_ptr chosen) {
  entry_worker_state& worker = dispatched.worker;
  dispatched_attempt_ptr failed = std::move(dispatched.failed);
  if (chosen == nullptr && failed == nullptr) {
    co_return co_await RespondLocally(dispatched.caller, dispatched.parser, dispatched.call,
                                      std::move(dispatched.fallback));
  }
  if (chosen == nullptr) {
    // No later attempt succeeded, so the target's failure is delivered.
    chosen = std::move(failed);
  } else if (failed != nullptr) {
    co_await sender_.DiscardResponse(worker, failed->Target(), failed->result);
  }
  co_return co_await DeliverResponse(worker, dispatched.caller, dispatched.parser, dispatched.call,
                                     std::move(dispatched.context), chosen->Target(),
                                     std::move(chosen->result));
}

next_step call_dispatcher::DecideNextStep(const dispatched_call& dispatched, attempt_state state) {
  const call_state& call = dispatched.call;
  state.time_left = stop_.AttemptsEnded() ? milliseconds(0) : TimeLeft(call);
  state.may_have_run = state.may_have_run || !dispatched.running.empty();
  const retry_kind kind = state.outcome == attempt_outcome::kRefusedOverload
                              ? retry_kind::kNotRun
                              : retry_kind::kMayHaveRun;
  return DecideNext(*call.matched_route, state, [&] {
    return deps_.budget.TryTake(call.service, call.document->content.retry_budget, kind, Now());
  });
}

selection_context call_dispatcher::MakeSelectionContext(const call_state& call) const {
  const member_record self = deps_.self.Get();
  selection_context context{self.vm, self.region, self.data_centre, {}, Now(), UnixMilliseconds()};
  context.cost = deps_.loads.Costs().Estimate(CostKeyOf(call));
  return context;
}

void call_dispatcher::RecordLoad(const call_state& call, const member_record& target,
                                 const attempt_result& attempt) {
  switch (attempt.outcome) {
    case attempt_outcome::kNotSent:
    case attempt_outcome::kLost:
      deps_.loads.OnConnectionFailure(target.vm, Now());
      return;
    case attempt_outcome::kResponded:
      deps_.loads.OnSuccessResponse(target.vm, Now());
      break;
    case attempt_outcome::kFailureResponse:
      deps_.loads.OnFailureResponse(target.vm, Now());
      break;
    case attempt_outcome::kRefused:
      // The gate's target is unavailable; the update that reports this has not arrived yet.
      if (attempt.reason != kReasonQuarantined && attempt.reason != kReasonKeyUnconfirmed)
        deps_.loads.OnConnectionFailure(target.vm, Now());
      return;
    case attempt_outcome::kRefusedOverload:
    case attempt_outcome::kFenced:
      break;
  }
  if (attempt.response == nullptr) return;
  const response_message& response = attempt.response->get();
  const bool from_target = attempt.outcome == attempt_outcome::kResponded ||
                           attempt.outcome == attempt_outcome::kFailureResponse;
  if (from_target) {
    const std::optional<double> present = deps_.loads.Limit(target.vm, target.target->instance);
    const std::optional<double> limit = LimitOf(response, settings_.conventions, present);
    if (limit != present) deps_.loads.OnLimitReport(target.vm, target.target->instance, limit);
    if (IsLeavingResponse(response, settings_.conventions)) {
      deps_.loads.OnLeaving(target.vm, *target.target);
    }
  }
  const auto text = response[kLoadHeader];
  const auto load = ParseLoad({text.data(), text.size()});
  if (!load) return;
  deps_.loads.OnLoadReport(target.vm, call.matched_route->traffic_class, *load, Now());
  if (attempt.outcome == attempt_outcome::kResponded) {
    deps_.loads.OnWork(target.vm, CostKeyOf(call), *load);
  }
}

asio::awaitable<bool> call_dispatcher::DeliverResponse(
    entry_worker_state& worker, caller_session& caller, request_parser& parser, call_state& call,
    selection_context context, member_record target, attempt_result attempt) {
  const bool has_turn = co_await caller.AwaitTurn(call.turn);
  if (!has_turn) {
    CountMetric("catkinmoor_callers_gone_total", call);
    Abort(*attempt.gate);
    if (attempt.upload != nullptr) co_await attempt.upload->Stop();
    co_return false;
  }
  response_parser& response = *attempt.response;
  const bool reusable = response.keep_alive();
  const bool uploads = attempt.upload != nullptr && !attempt.upload->IsComplete();
  const bool keep_open = KeepsOpen(caller, call) && parser.is_done() && !uploads;
  response_message& message = response.get();
  RemoveRelayedFields(message, settings_.conventions);
  message.set(kRequestIdHeader, call.request_id);
  message.version(11);
  message.keep_alive(keep_open);
  const unsigned status = message.result_int();
  const bool resumable = CanResume(parser.get(), call, response);
  response_writer writer(message);
  transfer_outcome transfer = transfer_outcome::kComplete;
  if (call.is_head) {
    caller.Caller().stream.expires_after(settings_.progress_timeout);
    auto [failed, count] =
        co_await bhttp::async_write_header(caller.Caller().stream, writer.serializer, kAwait);
    if (failed) transfer = transfer_outcome::kWriteFailed;
  } else {
    transfer = co_await TransferResponse(*attempt.gate, response, caller.Caller(), writer,
                                         settings_.progress_timeout);
  }
  const bool first_target_intact = transfer != transfer_outcome::kReadFailed;
  if (!first_target_intact && resumable) {
    deps_.loads.OnConnectionFailure(target.vm, Now());
    transfer = co_await Resume(worker, caller, parser, call, std::move(context), writer);
  }
  RecordRequest(call, status, transfer == transfer_outcome::kComplete ? kOutcomeRan : "cut");
  const bool body_sent = attempt.upload == nullptr || attempt.upload->IsComplete();
  if (transfer != transfer_outcome::kComplete) {
    Abort(*attempt.gate);
    Abort(caller.Caller());
    if (!body_sent) co_await attempt.upload->Stop();
    co_return false;
  }
  if (!body_sent) {
    // The target may still read the body that it has responded to.
    co_await attempt.upload->Finish(kMaxUploadPause, call.deadline);
    co_await CloseAfterUnreadBody(caller.Caller());
    co_return false;
  }
  if (reusable && first_target_intact) {
    worker.pool.Return(target.gate, std::move(attempt.gate), settings_.idle_timeout);
  }
  co_return keep_open;
}

bool call_dispatcher::CanResume(const request_message& request, const call_state& call,
                                const response_parser& response) {
  const response_message& message = response.get();
  const auto tag = message[bhttp::field::etag];
  return call.matched_route->repeatable && !call.streams_body &&
         request.method() == bhttp::verb::get && request[bhttp::field::range].empty() &&
         message.result() == bhttp::status::ok && response.content_length() && !tag.empty() &&
         tag.front() == '"' && message[bhttp::field::accept_ranges] == "bytes";
}

asio::awaitable<transfer_outcome> call_dispatcher::Resume(entry_worker_state& worker,
                                                          caller_session& caller,
                                                          request_parser& parser, call_state& call,
                                                          selection_context context,
                                                          response_writer& writer) {
  const document& content = call.document->content;
  call.resume_validator = std::string(writer.message[bhttp::field::etag]);
  transfer_outcome transfer = transfer_outcome::kReadFailed;
  for (int resumes = 0; resumes < kMaxResumes && transfer == transfer_outcome::kReadFailed;
       ++resumes) {
    // Only the rest of the response is fetched, so the whole budget is available.
    const bool allowed =
        deps_.budget.TryTake(call.service, content.retry_budget, retry_kind::kNotRun, Now());
    if (!allowed) break;
    context.now = Now();
    const auto eligible = RestrictVersions(
        deps_.versions, call, false,
        EligibleTargets(content, call.split, deps_.members.TargetsOf(call.service)));
    const member_ptr target =
        PickTarget(eligible, content, *call.matched_route, context, deps_.loads, worker.random);
    if (target == nullptr || RenewKey(deps_, call)) break;
    context.tried_vms.insert(target->vm);
    call.resume_offset = writer.body_bytes;
    const auto wait =
        std::make_shared<response_wait>(caller.Caller().stream.get_executor(), *target, RandomId());
    // The rest is fetched from another target instead of being awaited.
    wait->on_doubt = [doubtful = wait.get()] { attempt_sender::Supersede(*doubtful); };
    attempt_result attempt = co_await sender_.MakeAttempt(worker, caller, parser, call, wait);
    if (attempt.caller_disconnected) co_return transfer_outcome::kWriteFailed;
    if (!IsContinuation(attempt, call)) continue;
    CountMetric("catkinmoor_resumed_downloads_total", call);
    transfer = co_await TransferResponse(*attempt.gate, *attempt.response, caller.Caller(), writer,
                                         settings_.progress_timeout);
  }
  co_return transfer;
}

bool call_dispatcher::IsContinuation(const attempt_result& attempt, const call_state& call) {
  if (attempt.outcome != attempt_outcome::kResponded) return false;
  const response_message& message = attempt.response->get();
  const std::string range_start = "bytes " + std::to_string(call.resume_offset) + "-";
  return message.result() == bhttp::status::partial_content &&
         message[bhttp::field::etag] == call.resume_validator &&
         message[bhttp::field::content_range].starts_with(range_start);
}

asio::awaitable<bool> call_dispatcher::RespondLocally(caller_session& caller,
                                                      request_parser& parser,
                                                      const call_state& call,
                                                      local_response response) {
  RecordRequest(call, response.status, response.outcome);
  if (call.permit && response.outcome == kOutcomeNotRun) call.permit->MarkNotRun();
  LogLocalResponse(call, response);
  bool discarded = parser.is_done();
  if (!discarded && !call.expects_continue && !stop_.AttemptsEnded()) {
    discarded = co_await DiscardBody(caller.Caller(), parser, settings_.progress_timeout);
  }
  const bool has_turn = co_await caller.AwaitTurn(call.turn);
  if (!has_turn) co_return false;
  co_return co_await SendLocalResponse(
      caller.Caller(), response, discarded && KeepsOpen(caller, call), call.is_head,
      settings_.progress_timeout, settings_.conventions.fractional_retry_after);
}

bool call_dispatcher::KeepsOpen(caller_session& caller, const call_state& call) const {
  if (!call.keep_alive) return false;
  if (!draining_) return true;
  // Requests behind this one may be running; the response to the last one closes the connection.
  caller.StopReading();
  return caller.HasBehind(call.turn);
}

metrics::labels call_dispatcher::MetricLabels(const call_state& call) {
  if (call.matched_route == nullptr) return {{"service", "none"}};
  return {{"service", call.service},
          {"class", std::string(RouteClassName(call.matched_route->traffic_class))}};
}

void call_dispatcher::CountMetric(const char* name, const call_state& call) {
  deps_.metrics.IncrementCounter(name, MetricLabels(call));
}

void call_dispatcher::RecordRequest(const call_state& call, unsigned status, const char* outcome) {
  metrics::labels series = MetricLabels(call);
  deps_.metrics.ObserveLatency("catkinmoor_request_seconds", Now() - call.started, series);
  series["outcome"] = outcome;
  series["status"] = std::to_string(status / 100) + "xx";
  deps_.metrics.IncrementCounter("catkinmoor_requests_total", series);
}

}  // namespace catkinmoor::proxy_internal
