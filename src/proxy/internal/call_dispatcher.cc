#include "proxy/internal/call_dispatcher.h"

#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/base/digest.h"
#include "framework/logging/log.h"
#include "proxy/internal/key_admission.h"
#include "proxy/internal/target_responses.h"
#include "proxy/internal/version_evidence.h"
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
void LogAttempt(const call_state& call, const member_record& target, const std::string& attempt_id,
                const attempt_result& attempt, next_step next, const target_load& load,
                time_point sent_at) {
  const auto age = std::chrono::duration_cast<milliseconds>(sent_at - load.reported_at);
  const bool reported = load.reported_at != time_point{};
  logging::Info("attempt failed", {{"request", call.request_id},
                                   {"attempt", attempt_id},
                                   {"vm", target.vm},
                                   {"instance", target.target->instance},
                                   {"outcome", OutcomeName(attempt.outcome)},
                                   {"reason", attempt.reason},
                                   {"step", attempt.failure.step},
                                   {"message", attempt.failure.message},
                                   {"next", StepName(next)},
                                   {"load_in_use", static_cast<std::int64_t>(load.reported.in_use)},
                                   {"load_queued", static_cast<std::int64_t>(load.reported.queued)},
                                   {"load_age_ms", reported ? age.count() : -1},
                                   {"version", DocumentVersion(call)}});
}

/// An attempt that a target failed with a response of its own, kept in case no other target
/// succeeds.
struct deferred_failure {
  deferred_failure(attempt_result failed, member_record failed_target)
      : attempt(std::move(failed)), target(std::move(failed_target)) {}

  attempt_result attempt;
  member_record target;
};

cost_key CostKeyOf(const call_state& call) {
  return {call.matched_route->name,
          call.caller_workspace == nullptr ? std::string() : call.caller_workspace->name,
          call.body.size()};
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
  const document& content = call.document->content;
  deps_.budget.OnFirstAttempt(call.service, content.retry_budget, call.started);
  selection_context context = MakeSelectionContext();
  context.cost = deps_.loads.Costs().Estimate(CostKeyOf(call));
  attempt_state state{.attempts_made = 0};
  std::size_t crashes = 0;
  std::optional<deferred_failure> deferred;
  local_response fallback =
      NotRunResponse(503, "no-target", "pick target", "no target is available for this route");
  for (;;) {
    context.now = Now();
    context.spent = std::chrono::duration_cast<milliseconds>(context.now - call.started);
    const auto eligible = RestrictVersions(
        deps_.versions, call, state.attempts_made == 0,
        EligibleTargets(content, call.split, deps_.members.TargetsOf(call.service)));
    const member_ptr target =
        PickTarget(eligible, content, *call.matched_route, context, deps_.loads, worker.random);
    const target_load load = target == nullptr ? target_load{} : deps_.loads.Get(target->vm);
    const bool outlasts_stop = target != nullptr && WillOutlastStop(call, load);
    if (outlasts_stop) {
      fallback = NotRunResponse(503, kReasonDraining, "pick target",
                                "the daemon stops before a response is expected");
    }
    if (target == nullptr || outlasts_stop) {
      if (FinalStep(state) == next_step::kReportUnknown)
        fallback = UnknownResponse(call, std::move(fallback.failure));
      break;
    }
    if (auto refused = RenewKey(deps_, call)) {
      fallback = std::move(*refused);
      if (FinalStep(state) == next_step::kReportUnknown)
        fallback = UnknownResponse(call, std::move(fallback.failure));
      break;
    }
    context.tried_vms.insert(target->vm);
    // The caller may have disconnected before its request was read or between two attempts.
    const bool caller_left = caller.IsClosed() || IsClosed(caller.Caller());
    if (!call.streams_body && caller_left) {
      CountMetric("catkinmoor_callers_gone_total", call);
      co_return false;
    }
    ++state.attempts_made;
    if (state.attempts_made > 1) CountMetric("catkinmoor_retries_total", call);
    const std::string attempt_id = RandomId();
    const time_point sent_at = Now();
    auto evidence = BeginEvidence(deps_.versions, call, *target);
    attempt_result attempt =
        co_await sender_.MakeAttempt(worker, caller, parser, call, *target, attempt_id);
    if (attempt.caller_disconnected) co_return false;
    RecordLoad(call, *target, attempt);
    if (attempt.connection_silent) {
      // The target itself may be healthy, so it may be tried again over a new connection.
      CountMetric("catkinmoor_silent_connections_total", call);
      worker.pool.CloseIdle(target->gate);
      context.tried_vms.erase(target->vm);
    }
    state.body_replayable = state.body_replayable && !attempt.body_consumed;
    state.gate_queried = attempt.gate_queried;
    if (attempt.reason == kReasonTargetCrashed) ++crashes;
    next_step next = DecideNextStep(call, state, attempt.outcome);
    // A request that has crashed two targets is not tried on a third.
    const bool is_poison = crashes >= quarantine_board::kCrashThreshold;
    if (is_poison && next == next_step::kRetry) next = next_step::kReportUnknown;
    if (next == next_step::kQueryGate) {
      CountMetric("catkinmoor_fences_total", call);
      const request_fate fate =
          co_await sender_.QueryGate(*target, attempt_id, sent_at, false, TimeLeft(call));
      state.gate_queried = true;
      if (fate == request_fate::kNeverForwarded) attempt.outcome = attempt_outcome::kFenced;
      next = DecideNextStep(call, state, attempt.outcome);
    }
    RecordEvidence(evidence, attempt, sent_at);
    if (next == next_step::kDeliverResponse) {
      if (deferred) co_await sender_.DiscardResponse(worker, deferred->target, deferred->attempt);
      co_return co_await DeliverResponse(worker, caller, parser, call, std::move(context), *target,
                                         std::move(attempt));
    }
    LogAttempt(call, *target, attempt_id, attempt, next, load, sent_at);
    const bool failed = attempt.outcome == attempt_outcome::kFailureResponse;
    state.may_have_run = state.may_have_run || failed || attempt.outcome == attempt_outcome::kLost;
    if (failed) {
      deferred.emplace(std::move(attempt), *target);
      continue;
    }
    if (next == next_step::kReportUnknown) {
      fallback = UnknownResponse(call, std::move(attempt.failure));
      if (attempt.reason == kReasonDeadline) fallback.status = kGatewayTimeout;
      break;
    }
    const std::string reason = attempt.reason.empty() ? "not-reached" : attempt.reason;
    fallback = {503, kOutcomeNotRun, reason, std::move(attempt.failure), attempt.retry_after};
    if (next == next_step::kReportNotRun) break;
  }
  if (deferred) {
    // No later attempt succeeded, so the target's failure is delivered.
    co_return co_await DeliverResponse(worker, caller, parser, call, std::move(context),
                                       deferred->target, std::move(deferred->attempt));
  }
  co_return co_await RespondLocally(caller, parser, call, std::move(fallback));
}

next_step call_dispatcher::DecideNextStep(const call_state& call, attempt_state state,
                                          attempt_outcome outcome) {
  state.outcome = outcome;
  state.time_left = stop_.AttemptsEnded() ? milliseconds(0) : TimeLeft(call);
  const retry_kind kind =
      outcome == attempt_outcome::kRefusedOverload ? retry_kind::kNotRun : retry_kind::kMayHaveRun;
  return DecideNext(*call.matched_route, state, [&] {
    return deps_.budget.TryTake(call.service, call.document->content.retry_budget, kind, Now());
  });
}

selection_context call_dispatcher::MakeSelectionContext() const {
  const member_record self = deps_.self.Get();
  return {self.vm, self.region, self.data_centre, {}, Now(), UnixMilliseconds()};
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
  const bool keep_open = call.keep_alive && !draining_ && parser.is_done() && !uploads;
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
    attempt_result attempt =
        co_await sender_.MakeAttempt(worker, caller, parser, call, *target, RandomId());
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
  bool discarded = false;
  if (!call.expects_continue && !stop_.AttemptsEnded()) {
    discarded = co_await DiscardBody(caller.Caller(), parser, settings_.progress_timeout);
  }
  const bool has_turn = co_await caller.AwaitTurn(call.turn);
  if (!has_turn) co_return false;
  co_return co_await SendLocalResponse(
      caller.Caller(), response, discarded && call.keep_alive && !draining_, call.is_head,
      settings_.progress_timeout, settings_.conventions.fractional_retry_after);
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
