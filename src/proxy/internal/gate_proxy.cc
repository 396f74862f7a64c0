#include "proxy/gate_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/logging/log.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/slot_controller.h"
#include "proxy/internal/stream_http.h"
#include "proxy/internal/target_answers.h"

namespace catkinmoor {

using namespace proxy_internal;  // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kHandedRetention{30'000};
constexpr milliseconds kLedgerSweep{1'000};
constexpr milliseconds kCrashLook{50};
constexpr milliseconds kLongestIdle{30'000};
// A connection that was used this lately is not one that the target closes for idleness.
constexpr milliseconds kIdleBeforeUnsafe{800};
// Share of the link that long answers may use; the rest is for framing and all other messages.
constexpr double kLinkShare = 0.85;

/// Bytes a second that long answers may take of the link.
double LongAnswerRate(const proxy_settings& settings) {
  return kLinkShare * static_cast<double>(settings.link_kbps) * 1000 / 8;
}

own_answer NotRun(unsigned status, std::string reason, std::string message) {
  return {status, kNotRun, reason, {error_kind::kRefused, "gate", "", std::move(message)}};
}

own_answer Unknown(unsigned status, std::string reason, const std::string& peer,
                   std::string message) {
  return {status,
          kUnknown,
          std::move(reason),
          {error_kind::kUnavailable, "target", peer, std::move(message)}};
}

unsigned StatusFor(refusal reason) { return reason == refusal::kQueueFull ? 429 : 503; }

}  // namespace

class gate_proxy::impl : public std::enable_shared_from_this<gate_proxy::impl> {
 public:
  impl(worker_pool& workers, gate_board board, proxy_settings settings)
      : workers_(workers),
        board_(board),
        settings_(settings),
        slots_(std::make_shared<slot_controller>()),
        pacer_(LongAnswerRate(settings)) {
    slots_->SetLink(LongAnswerRate(settings) / 1000);
    for (std::size_t i = 0; i < workers.Size(); ++i) pools_.emplace_back(settings_);
  }

  result<done> Listen(const endpoint& where) {
    auto bound = Bind(workers_.Context(0), where);
    if (!Ok(bound)) return Failure(bound);
    acceptor_ = std::move(Value(bound));
    asio::co_spawn(workers_.Context(0), Accept(), asio::detached);
    asio::co_spawn(workers_.Context(0), SweepLedger(), asio::detached);
    return done{};
  }

  void SetTarget(const endpoint& where, const target_announcement& target) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      target_ = {where, target};
    }
    // Running requests use a connection each; what is left of the target's bound may stay idle.
    const std::uint32_t slots = std::min(target.slots, target.connections);
    const std::int64_t idle =
        (target.connections - slots) / static_cast<std::int64_t>(workers_.Size());
    for (connection_pool& each : pools_) each.SetLimit(std::min(idle, settings_.pool_idle));
    slots_->SetSlots(target.state == target_state::kReady ? slots : 0);
  }

  void RemoveTarget() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      target_.reset();
    }
    slots_->SetSlots(0);
  }

  void Drain() { slots_->Drain(); }

  void Close() {
    closing_ = true;
    asio::post(workers_.Context(0), [self = shared_from_this()] {
      beast::error_code ignored;
      if (self->acceptor_) self->acceptor_->close(ignored);
    });
  }

  std::size_t Active() const { return active_; }

  void ClearPools() {
    for (connection_pool& each : pools_) each.Clear();
  }

  request_fate Fence(const fence_request& message) {
    if (message.incarnation != board_.self.Get().version.incarnation) return request_fate::kUnknown;
    switch (board_.ledger.Fence(message.request_id, message.spare_waiting, Now())) {
      case ledger_fate::kNeverHanded:
        return request_fate::kNeverHanded;
      case ledger_fate::kWaiting:
        return request_fate::kWaiting;
      case ledger_fate::kHanded:
        return request_fate::kHanded;
      case ledger_fate::kAnswered:
        break;
    }
    return request_fate::kAnswered;
  }

 private:
  struct present_target {
    endpoint where;
    target_announcement announced;
  };

  asio::awaitable<void> Accept() {
    const auto self = shared_from_this();
    while (!closing_) {
      const std::size_t index = workers_.Next();
      auto [failed, socket] =
          co_await acceptor_->async_accept(workers_.Context(index).get_executor(), kAwait);
      if (closing_) co_return;
      if (failed) continue;
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      auto entry = std::make_unique<connection>(beast::tcp_stream(std::move(socket)));
      asio::co_spawn(workers_.Context(index), Serve(self, index, std::move(entry)), asio::detached);
    }
  }

  asio::awaitable<void> SweepLedger() {
    const auto self = shared_from_this();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!closing_) {
      timer.expires_after(kLedgerSweep);
      co_await timer.async_wait(kAwait);
      board_.ledger.Expire(Now());
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, std::size_t worker,
                                     connection_ptr entry) {
    bool keep = true;
    while (keep) {
      request_parser parser;
      const read_result read = co_await ReadRequestHeader(*entry, parser, self->settings_);
      if (read.what == read_outcome::kGone) co_return;
      if (read.what == read_outcome::kMalformed) {
        co_await SendOwnAnswer(*entry, read.answer, false, false, self->settings_.progress_timeout);
        break;
      }
      keep = co_await self->HandleCall(worker, *entry, parser);
    }
    beast::error_code ignored;
    entry->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /// Checks that a call is meant for this daemon and the target now behind it.
  std::optional<own_answer> Mismatch(const std::optional<gate_call>& call,
                                     const std::optional<present_target>& target) const {
    if (!call) return NotRun(400, "malformed-call", "the call's headers are missing or malformed");
    if (call->incarnation != board_.self.Get().version.incarnation) {
      return NotRun(503, "other-incarnation", "the call is meant for an earlier daemon");
    }
    if (!target) return NotRun(503, "no-target", "there is no target");
    const target_announcement& present = target->announced;
    if (present.service != call->service || present.instance != call->instance) {
      return NotRun(503, "other-target", "the target is another one now");
    }
    if (board_.quarantine.IsQuarantined(call->fingerprint, Now())) {
      return NotRun(503, kQuarantined, "requests like this one crashed targets");
    }
    if (present.state != target_state::kReady) {
      return NotRun(503, "draining", "the target takes no new work");
    }
    return std::nullopt;
  }

  std::optional<present_target> Target() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return target_;
  }

  void LogRefusal(const request_message& message, const std::string& reason,
                  const std::string& detail) const {
    board_.metrics.Count("catkinmoor_gate_refusals_total", {{"reason", reason}});
    const auto id = message[kRequestIdHeader];
    const auto attempt = message[kAttemptHeader];
    const reported_load load = slots_->Load("");
    logging::Info("call refused", {{"request", std::string_view(id.data(), id.size())},
                                   {"attempt", std::string_view(attempt.data(), attempt.size())},
                                   {"reason", reason},
                                   {"message", detail},
                                   {"in_use", static_cast<std::int64_t>(load.in_use)},
                                   {"slots", static_cast<std::int64_t>(load.slots)},
                                   {"queued", static_cast<std::int64_t>(load.queued)}});
  }

  /// Refuses a call, and keeps the connection where its body is short enough to be read past.
  asio::awaitable<bool> Refuse(connection& entry, request_parser& parser, own_answer answer) {
    LogRefusal(parser.get(), answer.reason, answer.failure.message);
    const bool head = parser.get().method() == bhttp::verb::head;
    const bool waiting = !parser.get()[bhttp::field::expect].empty();
    bool whole = false;
    if (!waiting) whole = co_await DropBody(entry, parser, settings_.progress_timeout);
    co_return co_await SendOwnAnswer(entry, answer, whole && parser.keep_alive() && !closing_, head,
                                     settings_.progress_timeout);
  }

  asio::awaitable<bool> HandleCall(std::size_t worker, connection& entry, request_parser& parser) {
    const activity counted(active_);
    const auto call = ReadCall(parser.get());
    const auto target = Target();
    if (auto mismatch = Mismatch(call, target)) {
      co_return co_await Refuse(entry, parser, std::move(*mismatch));
    }
    switch (board_.ledger.Arrive(call->attempt, call->deadline + kHandedRetention, Now())) {
      case arrival::kNew:
        break;
      case arrival::kFenced:
        co_return co_await Refuse(entry, parser, NotRun(503, "fenced", "the call was given up"));
      case arrival::kDuplicate:
        co_return co_await Refuse(entry, parser,
                                  Unknown(409, "duplicate", "", "the call arrived before"));
    }
    const bool keep = co_await Admit(worker, entry, parser, *call);
    // Nothing happens to a call that was handed on; any other never will be.
    board_.ledger.TurnAway(call->attempt);
    co_return keep;
  }

  asio::awaitable<bool> Admit(std::size_t worker, connection& entry, request_parser& parser,
                              gate_call call) {
    const time_point deadline = Now() + call.deadline;
    admission_request request{0,          call.kind, call.route,   call.concurrency,
                              call.queue, deadline,  call.priority};
    if (call.objective) request.objective = Now() + *call.objective;
    const auto place = std::make_shared<slot_controller::place>(entry.stream.get_executor());
    admission_decision decision;
    {
      const disconnect_watch watch(entry, [this, place] { slots_->Abandon(place); });
      decision = co_await slots_->Acquire(std::move(request), place);
    }
    if (decision.what == admission::kRefuse) {
      const std::string reason = RefusalName(decision.reason);
      own_answer refused = NotRun(StatusFor(decision.reason), reason, "not admitted");
      refused.load = FormatLoad(slots_->Load(call.route));
      refused.retry_after = slots_->RetryAfter();
      co_return co_await Refuse(entry, parser, std::move(refused));
    }
    const slot_controller::lease slot(slots_, call.route);
    // The target may have changed while the call waited.
    const auto target = Target();
    if (auto mismatch = Mismatch(call, target)) {
      co_return co_await Refuse(entry, parser, std::move(*mismatch));
    }
    co_return co_await HandOn(worker, entry, parser, std::move(call), *target, deadline);
  }

  /// A request that may not run twice is given no connection that the target may be closing.
  asio::awaitable<result<connection_ptr>> Reach(std::size_t worker, endpoint where,
                                                bool repeatable) {
    const milliseconds oldest = repeatable ? kLongestIdle : kIdleBeforeUnsafe;
    if (auto idle = pools_[worker].TakeIdle(where, oldest)) co_return std::move(idle);
    co_return co_await Connect(where, settings_.connect_timeout);
  }

  asio::awaitable<bool> HandOn(std::size_t worker, connection& entry, request_parser& parser,
                               gate_call call, present_target target, time_point deadline) {
    auto reached = co_await Reach(worker, target.where, call.repeatable);
    if (!Ok(reached)) {
      const bool refused = Failure(reached).kind == error_kind::kUnavailable;
      if (refused && board_.on_unreachable) board_.on_unreachable(call.instance);
      co_return co_await Refuse(entry, parser,
                                NotRun(503, "no-target", Describe(Failure(reached))));
    }
    connection_ptr backend = std::move(Value(reached));
    const bool expects = !parser.get()[bhttp::field::expect].empty();
    if (expects) {
      const bool told = co_await SendContinue(entry, settings_.progress_timeout);
      if (!told) co_return false;
    }
    // An entry that closed its connection has given the call up; this daemon may have been paused.
    if (IsClosed(entry)) co_return false;
    if (!board_.ledger.TryHand(call.attempt)) {
      co_return co_await Refuse(entry, parser, NotRun(503, "fenced", "the call was given up"));
    }
    const bool head = parser.get().method() == bhttp::verb::head;
    PrepareRequest(parser.get(), call, deadline);
    const transfer_outcome sent =
        co_await TransferRequest(entry, parser, *backend, settings_.progress_timeout);
    if (sent == transfer_outcome::kReadFailed) {
      Abort(*backend);
      co_return false;
    }
    const bool keep = parser.keep_alive() && parser.is_done();
    co_return co_await Answer(worker, entry, std::move(backend), target.where, call, head, keep,
                              deadline);
  }

  void PrepareRequest(request_message& message, const gate_call& call, time_point deadline) const {
    const wire_dialect& dialect = settings_.dialect;
    const std::string depth(message[kDepthHeader]);
    RemoveHopByHop(message);
    RemoveOwnHeaders(message);
    message.erase(bhttp::field::expect);
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Now());
    message.set(dialect.deadline_header, std::to_string(std::max<std::int64_t>(1, left.count())));
    message.set(kAttemptHeader, call.attempt);
    if (!dialect.instance_header.empty()) message.set(dialect.instance_header, call.instance);
    if (!dialect.caller_service_header.empty()) {
      message.set(dialect.caller_service_header, call.caller_service);
    }
    if (!depth.empty()) message.set(kDepthHeader, depth);
    message.version(11);
    message.keep_alive(true);
  }

  /// Reads the target's answer and sends it on to the entry.
  asio::awaitable<bool> Answer(std::size_t worker, connection& entry, connection_ptr backend,
                               endpoint where, gate_call call, bool head, bool keep,
                               time_point deadline) {
    const time_point handed = Now();
    std::optional<response_parser> parser;
    beast::error_code failed;
    bool entry_gone = false;
    {
      const disconnect_watch watch(entry, [&] {
        entry_gone = true;
        backend->stream.cancel();
      });
      const answer_reading how{settings_, board_.metrics};
      failed = co_await ReadAnswerTo(call, *backend, parser, head, deadline, how);
    }
    if (!failed && TurnsAway(parser->get(), settings_.dialect)) {
      co_return co_await PassRefusal(worker, entry, std::move(backend), where, *parser, head, keep);
    }
    if (!failed && IsSpoiled(parser->get(), settings_.dialect)) failed = bhttp::error::bad_value;
    if (failed) {
      Abort(*backend);
      if (entry_gone) co_return false;
      own_answer lost = Unknown(502, "target-lost", ToString(where), failed.message());
      if (failed == beast::error::timeout) {
        lost.status = 504;
        lost.reason = kDeadline;
      } else {
        const bool crashed = co_await IsGone(where);
        if (crashed) {
          lost.reason = kCrashed;
          board_.on_crash(call.fingerprint, call.instance);
        }
      }
      board_.metrics.Count("catkinmoor_gate_lost_total", {{"reason", lost.reason}});
      logging::Warning("call lost by the target", {{"request", call.request_id},
                                                   {"attempt", call.attempt},
                                                   {"instance", call.instance},
                                                   {"reason", lost.reason},
                                                   {"message", lost.failure.message}});
      co_return co_await SendOwnAnswer(entry, lost, keep, head, settings_.progress_timeout);
    }
    const auto work = std::chrono::duration_cast<milliseconds>(Now() - handed);
    const bool reusable = parser->keep_alive();
    const milliseconds usable = IdleTimeOf(parser->get());
    PrepareAnswer(*parser, call.route, keep);
    transfer_outcome sent = transfer_outcome::kWhole;
    if (head) {
      sent = co_await SendHeader(entry, *parser);
    } else {
      answer_writer writer(parser->get(), IsOnThisVm(entry) ? nullptr : &pacer_);
      sent = co_await TransferAnswer(*backend, *parser, entry, writer, settings_.progress_timeout);
      if (sent == transfer_outcome::kWhole) {
        slots_->NoteAnswer(call.route, writer.body_bytes, work);
      }
    }
    if (sent != transfer_outcome::kWhole) {
      Abort(*backend);
      Abort(entry);
      co_return false;
    }
    board_.ledger.Answered(call.attempt);
    if (board_.quarantine.OnSuccess(call.fingerprint)) board_.on_cleared(call.fingerprint);
    if (reusable) pools_[worker].Return(where, std::move(backend), usable);
    co_return keep;
  }

  /// Whether an entry is this daemon's own, so that its answers do not use the link.
  static bool IsOnThisVm(connection& entry) {
    beast::error_code failed;
    const auto here = entry.stream.socket().local_endpoint(failed);
    const auto there = entry.stream.socket().remote_endpoint(failed);
    return !failed && here.address() == there.address();
  }

  /// Tells the entry that the target has not run a request.
  asio::awaitable<bool> PassRefusal(std::size_t worker, connection& entry, connection_ptr backend,
                                    endpoint where, response_parser& answer, bool head, bool keep) {
    const unsigned status = answer.get().result_int();
    const std::string id(answer.get()[kRequestIdHeader]);
    const milliseconds usable = IdleTimeOf(answer.get());
    bool whole = false;
    if (answer.keep_alive()) {
      whole = co_await DropAnswerBody(*backend, answer, settings_.progress_timeout);
    }
    if (whole) pools_[worker].Return(where, std::move(backend), usable);
    const std::string reason = status == 421 ? "other-target" : kTargetRefused;
    board_.metrics.Count("catkinmoor_gate_refusals_total", {{"reason", reason}});
    logging::Info("target turned a call away", {{"request", std::string_view(id.data(), id.size())},
                                                {"reason", reason},
                                                {"status", static_cast<std::int64_t>(status)}});
    own_answer refused = NotRun(503, reason, "the target answered " + std::to_string(status));
    co_return co_await SendOwnAnswer(entry, refused, keep, head, settings_.progress_timeout);
  }

  /// Whether nothing listens any more where a connection has just broken.
  asio::awaitable<bool> IsGone(endpoint where) {
    const auto opened = co_await Connect(where, settings_.connect_timeout);
    if (!Ok(opened)) co_return Failure(opened).kind == error_kind::kUnavailable;
    // The system closes the sockets of a dying process in no particular order, so its listening one
    // may still take a connection, which then breaks too.
    asio::steady_timer pause(co_await asio::this_coro::executor, kCrashLook);
    co_await pause.async_wait(kAwait);
    co_return IsClosed(*Value(opened));
  }

  asio::awaitable<transfer_outcome> SendHeader(connection& to, response_parser& parser) {
    bhttp::response_serializer<bhttp::buffer_body> serializer(parser.get());
    to.stream.expires_after(settings_.progress_timeout);
    auto [failed, count] = co_await bhttp::async_write_header(to.stream, serializer, kAwait);
    co_return failed ? transfer_outcome::kWriteFailed : transfer_outcome::kWhole;
  }

  void PrepareAnswer(response_parser& parser, const std::string& route, bool keep) const {
    response_message& message = parser.get();
    const bool unframed = parser.need_eof();
    RemoveHopByHop(message);
    RemoveOwnHeaders(message);
    if (unframed) message.chunked(true);
    message.set(kOutcomeHeader, kRan);
    message.set(kLoadHeader, FormatLoad(slots_->Load(route)));
    message.version(11);
    message.keep_alive(keep);
  }

  worker_pool& workers_;
  gate_board board_;
  proxy_settings settings_;
  std::shared_ptr<slot_controller> slots_;
  link_pacer pacer_;
  std::deque<connection_pool> pools_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  mutable std::mutex mutex_;
  std::optional<present_target> target_;
  std::atomic<std::size_t> active_ = 0;
  std::atomic<bool> closing_ = false;
};

gate_proxy::gate_proxy(worker_pool& workers, gate_board board, proxy_settings settings)
    : impl_(std::make_shared<impl>(workers, board, settings)) {
  workers.OnStopped([shared = impl_] { shared->ClearPools(); });
}

gate_proxy::~gate_proxy() = default;

result<done> gate_proxy::Listen(const endpoint& where) { return impl_->Listen(where); }

void gate_proxy::SetTarget(const endpoint& where, const target_announcement& target) {
  impl_->SetTarget(where, target);
}

void gate_proxy::RemoveTarget() { impl_->RemoveTarget(); }

void gate_proxy::Drain() { impl_->Drain(); }

void gate_proxy::Close() { impl_->Close(); }

std::size_t gate_proxy::Active() const { return impl_->Active(); }

request_fate gate_proxy::Fence(const fence_request& message) { return impl_->Fence(message); }

}  // namespace catkinmoor
