#include "proxy/internal/call_carrier.h"

#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr int kResumes = 3;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

std::int64_t VersionOf(const call_state& call) {
  return call.content == nullptr ? 0 : static_cast<std::int64_t>(call.content->source.version);
}

void LogOwnAnswer(const call_state& call, const own_answer& answer) {
  const auto spent = std::chrono::duration_cast<milliseconds>(Now() - call.started);
  const auto given = std::chrono::duration_cast<milliseconds>(call.deadline - call.started);
  logging::Info("request not served",
                {{"request", call.request_id},
                 {"status", static_cast<std::int64_t>(answer.status)},
                 {"outcome", answer.outcome},
                 {"reason", answer.reason},
                 {"step", answer.failure.step},
                 {"peer", answer.failure.peer},
                 {"message", answer.failure.message},
                 {"service", call.service},
                 {"route", call.chosen == nullptr ? std::string_view() : call.chosen->name},
                 {"version", VersionOf(call)},
                 {"spent_ms", spent.count()},
                 {"deadline_ms", given.count()},
                 {"retry_after_ms", answer.retry_after.count()}});
}

/// Tells why an attempt yielded no answer, and what follows.
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
                                   {"version", VersionOf(call)}});
}

milliseconds LeftOf(const call_state& call) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(call.deadline - Now()));
}

}  // namespace

namespace {

/// A failure that a target answered with, kept until another target does better.
struct kept_failure {
  kept_failure(attempt_result of, member_record at)
      : attempt(std::move(of)), target(std::move(at)) {}

  attempt_result attempt;
  member_record target;
};

/// The answer to a request that may have run.
own_answer Unknown(const call_state& call, error failure) {
  const unsigned status = Now() >= call.deadline ? kGatewayTimeout : kBadGateway;
  return {status, kUnknown, "lost", std::move(failure)};
}

}  // namespace

asio::awaitable<bool> call_carrier::Carry(entry_worker& worker, connection& caller,
                                          request_parser& parser, call_state& call) {
  const document& content = call.content->content;
  board_.budget.OnFirstTry(call.service, content.retry_budget, call.started);
  selection_context context = MakeContext();
  attempt_state state{.attempts_made = 0};
  std::size_t crashes = 0;
  std::optional<kept_failure> kept;
  own_answer last = NotRun(503, "no-target", "pick target", "no target takes this route now");
  for (;;) {
    context.now = Now();
    const auto eligible =
        EligibleTargets(content, call.split, board_.members.TargetsOf(call.service));
    const member_ptr target =
        PickTarget(eligible, content, *call.chosen, context, board_.loads, worker.random);
    if (target == nullptr) {
      if (GiveUp(state) == next_step::kSayUnknown) last = Unknown(call, std::move(last.failure));
      break;
    }
    context.tried.insert(target->vm);
    // The caller may have left before its request was read, or between two attempts.
    if (!call.streams && IsClosed(caller)) {
      Count("catkinmoor_callers_gone_total", call);
      co_return false;
    }
    ++state.attempts_made;
    if (state.attempts_made > 1) Count("catkinmoor_retries_total", call);
    const std::string attempt_id = RandomId();
    const time_point sent_at = Now();
    const target_load load = board_.loads.Get(target->vm);
    attempt_result attempt =
        co_await sender_.Try(worker, caller, parser, call, *target, attempt_id);
    if (attempt.caller_gone) co_return false;
    NoteLoad(call, *target, attempt);
    if (attempt.silent) {
      // The target itself may be well; a new connection to it can work.
      Count("catkinmoor_silent_connections_total", call);
      worker.pool.Forget(target->gate);
      context.tried.erase(target->vm);
    }
    state.body_replayable = state.body_replayable && !attempt.body_used;
    state.gate_asked = attempt.gate_asked;
    if (attempt.reason == kCrashed) ++crashes;
    next_step next = Decide(call, state, attempt.outcome);
    // A request that has crashed two targets is not tried on a third.
    const bool poison = crashes >= quarantine_board::kCrashes;
    if (poison && next == next_step::kTryAnother) next = next_step::kSayUnknown;
    if (next == next_step::kAskGate) {
      Count("catkinmoor_fences_total", call);
      const request_fate fate =
          co_await sender_.AskGate(*target, attempt_id, sent_at, false, LeftOf(call));
      state.gate_asked = true;
      if (fate == request_fate::kNeverHanded) attempt.outcome = attempt_outcome::kFencedNotRun;
      next = Decide(call, state, attempt.outcome);
    }
    if (next == next_step::kDeliver) {
      if (kept) co_await sender_.Discard(worker, kept->target, kept->attempt);
      co_return co_await Deliver(worker, caller, parser, call, std::move(context), *target,
                                 std::move(attempt));
    }
    LogAttempt(call, *target, attempt_id, attempt, next, load, sent_at);
    const bool failed = attempt.outcome == attempt_outcome::kFailed;
    state.may_have_run = state.may_have_run || failed || attempt.outcome == attempt_outcome::kLost;
    if (failed) {
      kept.emplace(std::move(attempt), *target);
      continue;
    }
    if (next == next_step::kSayUnknown) {
      last = Unknown(call, std::move(attempt.failure));
      if (attempt.reason == kDeadline) last.status = kGatewayTimeout;
      break;
    }
    const std::string reason = attempt.reason.empty() ? "not-reached" : attempt.reason;
    last = {503, kNotRun, reason, std::move(attempt.failure), attempt.retry_after};
    if (next == next_step::kSayNotRun) break;
  }
  if (kept) {
    // Nothing better came of trying again.
    co_return co_await Deliver(worker, caller, parser, call, std::move(context), kept->target,
                               std::move(kept->attempt));
  }
  co_return co_await AnswerOwn(caller, parser, call, std::move(last));
}

next_step call_carrier::Decide(const call_state& call, attempt_state state,
                               attempt_outcome outcome) {
  state.outcome = outcome;
  state.time_left = LeftOf(call);
  return DecideNext(*call.chosen, state, [&] {
    return board_.budget.Take(call.service, call.content->content.retry_budget, Now());
  });
}

selection_context call_carrier::MakeContext() const {
  const member_record self = board_.self.Get();
  return {self.vm, self.region, self.data_centre, {}, Now(), WallMilliseconds()};
}

void call_carrier::NoteLoad(const call_state& call, const member_record& target,
                            const attempt_result& attempt) {
  switch (attempt.outcome) {
    case attempt_outcome::kNotSent:
    case attempt_outcome::kLost:
      board_.loads.OnFailure(target.vm, Now());
      return;
    case attempt_outcome::kAnswered:
      board_.loads.OnSuccess(target.vm, Now());
      break;
    case attempt_outcome::kFailed:
      board_.loads.OnFailedAnswer(target.vm, Now());
      break;
    case attempt_outcome::kRefused:
      // The gate's target is away; the news of it is on its way.
      if (attempt.reason != kQuarantined) board_.loads.OnFailure(target.vm, Now());
      return;
    case attempt_outcome::kRefusedByLoad:
    case attempt_outcome::kFencedNotRun:
      break;
  }
  if (attempt.answer == nullptr) return;
  const auto text = attempt.answer->get()[kLoadHeader];
  const auto load = ParseLoad({text.data(), text.size()});
  if (load) board_.loads.OnReport(target.vm, call.chosen->kind, *load, Now());
}

asio::awaitable<bool> call_carrier::Deliver(entry_worker& worker, connection& caller,
                                            request_parser& parser, call_state& call,
                                            selection_context context, member_record target,
                                            attempt_result attempt) {
  response_parser& answer = *attempt.answer;
  const bool reusable = answer.keep_alive();
  const bool keep = call.keep_alive && !draining_ && parser.is_done();
  response_message& message = answer.get();
  RemoveHopByHop(message);
  RemoveOwnHeaders(message);
  message.set(kRequestIdHeader, call.request_id);
  message.version(11);
  message.keep_alive(keep);
  const unsigned status = message.result_int();
  const bool resumable = CanResume(parser.get(), call, answer);
  answer_writer writer(message);
  transfer_outcome sent = transfer_outcome::kWhole;
  if (call.head) {
    caller.stream.expires_after(settings_.progress_timeout);
    auto [failed, count] =
        co_await bhttp::async_write_header(caller.stream, writer.serializer, kAwait);
    if (failed) sent = transfer_outcome::kWriteFailed;
  } else {
    sent =
        co_await TransferAnswer(*attempt.gate, answer, caller, writer, settings_.progress_timeout);
  }
  const bool first_source = sent != transfer_outcome::kReadFailed;
  if (!first_source && resumable) {
    board_.loads.OnFailure(target.vm, Now());
    sent = co_await Resume(worker, caller, parser, call, std::move(context), writer);
  }
  Record(call, status, sent == transfer_outcome::kWhole ? kRan : "cut");
  if (sent != transfer_outcome::kWhole) {
    Abort(*attempt.gate);
    Abort(caller);
    co_return false;
  }
  if (reusable && first_source) {
    worker.pool.Return(target.gate, std::move(attempt.gate), settings_.idle_timeout);
  }
  co_return keep;
}

bool call_carrier::CanResume(const request_message& request, const call_state& call,
                             const response_parser& answer) {
  const response_message& message = answer.get();
  const auto tag = message[bhttp::field::etag];
  return call.chosen->repeatable && !call.streams && request.method() == bhttp::verb::get &&
         request[bhttp::field::range].empty() && message.result() == bhttp::status::ok &&
         answer.content_length() && !tag.empty() && tag.front() == '"' &&
         message[bhttp::field::accept_ranges] == "bytes";
}

asio::awaitable<transfer_outcome> call_carrier::Resume(entry_worker& worker, connection& caller,
                                                       request_parser& parser, call_state& call,
                                                       selection_context context,
                                                       answer_writer& writer) {
  const document& content = call.content->content;
  call.validator = std::string(writer.message[bhttp::field::etag]);
  transfer_outcome sent = transfer_outcome::kReadFailed;
  for (int tries = 0; tries < kResumes && sent == transfer_outcome::kReadFailed; ++tries) {
    if (!board_.budget.Take(call.service, content.retry_budget, Now())) break;
    context.now = Now();
    const auto eligible =
        EligibleTargets(content, call.split, board_.members.TargetsOf(call.service));
    const member_ptr target =
        PickTarget(eligible, content, *call.chosen, context, board_.loads, worker.random);
    if (target == nullptr) break;
    context.tried.insert(target->vm);
    call.resume_at = writer.body_bytes;
    attempt_result attempt =
        co_await sender_.Try(worker, caller, parser, call, *target, RandomId());
    if (attempt.caller_gone) co_return transfer_outcome::kWriteFailed;
    if (!GoesOn(attempt, call)) continue;
    Count("catkinmoor_resumed_downloads_total", call);
    sent = co_await TransferAnswer(*attempt.gate, *attempt.answer, caller, writer,
                                   settings_.progress_timeout);
  }
  co_return sent;
}

bool call_carrier::GoesOn(const attempt_result& attempt, const call_state& call) {
  if (attempt.outcome != attempt_outcome::kAnswered) return false;
  const response_message& message = attempt.answer->get();
  const std::string begin = "bytes " + std::to_string(call.resume_at) + "-";
  return message.result() == bhttp::status::partial_content &&
         message[bhttp::field::etag] == call.validator &&
         message[bhttp::field::content_range].starts_with(begin);
}

asio::awaitable<bool> call_carrier::AnswerOwn(connection& caller, request_parser& parser,
                                              const call_state& call, own_answer answer) {
  Record(call, answer.status, answer.outcome);
  LogOwnAnswer(call, answer);
  bool whole = false;
  if (!call.caller_expects) {
    whole = co_await DropBody(caller, parser, settings_.progress_timeout);
  }
  co_return co_await SendOwnAnswer(caller, answer, whole && call.keep_alive && !draining_,
                                   call.head, settings_.progress_timeout,
                                   settings_.dialect.fractional_retry_after);
}

metrics::labels call_carrier::LabelsOf(const call_state& call) {
  if (call.chosen == nullptr) return {{"service", "none"}};
  return {{"service", call.service}, {"class", std::string(ClassName(call.chosen->kind))}};
}

void call_carrier::Count(const char* name, const call_state& call) {
  board_.metrics.Count(name, LabelsOf(call));
}

void call_carrier::Record(const call_state& call, unsigned status, const char* outcome) {
  metrics::labels series = LabelsOf(call);
  board_.metrics.Observe("catkinmoor_request_seconds", Now() - call.started, series);
  series["outcome"] = outcome;
  series["status"] = std::to_string(status / 100) + "xx";
  board_.metrics.Count("catkinmoor_requests_total", series);
}

}  // namespace catkinmoor::proxy_internal
