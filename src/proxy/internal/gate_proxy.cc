#include "proxy/gate_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <optional>

#include "framework/logging/log.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/slot_controller.h"
#include "proxy/internal/http_stream.h"
#include "proxy/internal/key_admission.h"
#include "proxy/internal/target_responses.h"
#include "proxy/internal/wire/body_upload.h"
#include "proxy/internal/wire/message_fields.h"

namespace catkinmoor {

using namespace proxy_internal;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kSecondsPerMinute = 60;
constexpr milliseconds kForwardedRetention{30'000};
constexpr milliseconds kLedgerSweepInterval{1'000};
constexpr milliseconds kCrashCheckDelay{50};
constexpr milliseconds kMaxIdleTime{30'000};
// A connection used this recently has not reached the target's idle timeout.
constexpr milliseconds kMaxIdleTimeNotRepeatable{800};
// Time without progress after which the rest of a body is not sent to a target that has responded
// already: it does not read on.
constexpr milliseconds kMaxUploadPause{1'000};
// Share of the link's rate available to long responses; the rest is for framing and all other
// messages.
constexpr double kLinkShare = 0.85;

/// Rate of the link available to long responses, in bytes per second.
double LongResponseRate(const proxy_settings& settings) {
  return kLinkShare * static_cast<double>(settings.link_kbps) * 1000 / 8;
}

local_response NotRunResponse(unsigned status, std::string reason, std::string message) {
  return {status, kOutcomeNotRun, reason, {error_kind::kRefused, "gate", "", std::move(message)}};
}

local_response UnknownResponse(unsigned status, std::string reason, const std::string& peer,
                               std::string message) {
  return {status,
          kOutcomeUnknown,
          std::move(reason),
          {error_kind::kUnavailable, "target", peer, std::move(message)}};
}

unsigned RefusalStatus(refusal_reason reason) {
  return reason == refusal_reason::kQueueFull ? 429 : 503;
}

}  // namespace

class gate_proxy::impl : public std::enable_shared_from_this<gate_proxy::impl> {
 public:
  impl(worker_pool& workers, gate_dependencies dependencies, proxy_settings settings)
      : workers_(workers),
        deps_(dependencies),
        settings_(settings),
        slots_(std::make_shared<slot_controller>(workers.Context(0))),
        pacer_(LongResponseRate(settings)) {
    slots_->SetLinkRate(LongResponseRate(settings) / 1000);
    for (std::size_t i = 0; i < workers.Size(); ++i) pools_.emplace_back(settings_);
  }

  result<done> Listen(const endpoint& address) {
    auto bound = Bind(workers_.Context(0), address);
    if (!Ok(bound)) return Failure(bound);
    acceptor_ = std::move(Value(bound));
    asio::co_spawn(workers_.Context(0), Accept(), asio::detached);
    asio::co_spawn(workers_.Context(0), SweepLedger(), asio::detached);
    return done{};
  }

  void SetTarget(const endpoint& address, const target_announcement& target) {
    bool is_new_instance = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_new_instance = last_instance_ != target.instance;
      last_instance_ = target.instance;
      target_ = {address, target};
    }
    if (is_new_instance) slots_->ResetRateLimit();
    if (is_new_instance) ForgetLoad();
    // Each running request uses a connection; the rest of the target's connection limit may be
    // idle.
    const std::uint32_t slots = std::min(target.slots, target.connections);
    const std::int64_t idle =
        (target.connections - slots) / static_cast<std::int64_t>(workers_.Size());
    for (connection_pool& each : pools_)
      each.SetLimit(std::min(idle, settings_.max_idle_connections));
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

  void StopAccepting() {
    closing_ = true;
    asio::post(workers_.Context(0), [self = shared_from_this()] {
      beast::error_code ignored;
      if (self->acceptor_) self->acceptor_->close(ignored);
    });
  }

  std::size_t ActiveRequests() const { return active_; }

  std::optional<target_load_report> TargetLoad() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return target_load_;
  }

  void ClearPools() {
    for (connection_pool& each : pools_) each.Clear();
  }

  request_fate Fence(const fence_request& message) {
    if (!deps_.self.IsOwn(message.incarnation)) return request_fate::kUnknown;
    switch (deps_.ledger.Fence(message.request_id, message.except_waiting, Now())) {
      case ledger_fate::kNeverForwarded:
        return request_fate::kNeverForwarded;
      case ledger_fate::kWaiting:
        return request_fate::kWaiting;
      case ledger_fate::kForwarded:
        return request_fate::kForwarded;
      case ledger_fate::kResponded:
        break;
    }
    return request_fate::kResponded;
  }

 private:
  struct current_target {
    endpoint address;
    target_announcement announcement;
  };

  asio::awaitable<void> Accept() {
    const auto self = shared_from_this();
    while (!closing_) {
      const std::size_t index = workers_.NextIndex();
      auto [failed, socket] =
          co_await acceptor_->async_accept(workers_.Context(index).get_executor(), kAwait);
      if (closing_) co_return;
      if (failed) continue;
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      auto entry = std::make_unique<connection>(beast::tcp_stream(std::move(socket)));
      OpenAccount(*entry, deps_.connections, holder_kind::kPeer);
      asio::co_spawn(workers_.Context(index), Serve(self, index, std::move(entry)), asio::detached);
    }
  }

  asio::awaitable<void> SweepLedger() {
    const auto self = shared_from_this();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!closing_) {
      timer.expires_after(kLedgerSweepInterval);
      co_await timer.async_wait(kAwait);
      deps_.ledger.Expire(Now());
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, std::size_t worker,
                                     connection_ptr entry) {
    const std::int64_t max_header_bytes =
        std::max(self->settings_.max_header_bytes, kMaxHeaderBytes) + kCallHeaderBytes;
    bool keep_open = true;
    while (keep_open) {
      request_parser parser;
      const read_result read =
          co_await ReadRequestHeader(*entry, parser, self->settings_, max_header_bytes);
      if (read.outcome == read_outcome::kDisconnected) co_return;
      if (read.outcome == read_outcome::kMalformed) {
        co_await SendLocalResponse(*entry, read.response, false, false,
                                   self->settings_.progress_timeout);
        break;
      }
      keep_open = co_await self->HandleCall(worker, *entry, parser);
    }
    beast::error_code ignored;
    entry->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /// Checks whether a call may be forwarded to the current target. If not, returns the response to
  /// send.
  std::optional<local_response> CheckCall(const std::optional<gate_call>& call,
                                          const std::optional<current_target>& target) const {
    if (!call) return NotRunResponse(400, "malformed-call", "call headers missing or malformed");
    if (!deps_.self.IsOwn(call->incarnation)) {
      return NotRunResponse(503, "other-incarnation",
                            "the call was sent to another incarnation of this daemon");
    }
    if (!target) return NotRunResponse(503, "no-target", "no target is registered");
    if (IsKeyExpired(*call)) return KeyExpiredResponse();
    const target_announcement& announcement = target->announcement;
    if (announcement.service != call->service || announcement.instance != call->instance) {
      return NotRunResponse(503, "other-target",
                            "the registered target is not the one that the call was sent to");
    }
    if (deps_.quarantine.IsQuarantined(call->fingerprint, Now())) {
      return NotRunResponse(503, kReasonQuarantined,
                            "requests with this fingerprint crashed targets");
    }
    if (announcement.state != target_state::kReady) {
      return NotRunResponse(503, kReasonDraining, "the target accepts no new requests");
    }
    return std::nullopt;
  }

  std::optional<current_target> Target() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return target_;
  }

  void LogRefusal(const request_message& message, const std::string& reason,
                  const std::string& detail) const {
    deps_.metrics.IncrementCounter("catkinmoor_gate_refusals_total", {{"reason", reason}});
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

  /// Refuses a call. The connection is kept if the body is short enough to be read and discarded.
  asio::awaitable<bool> Refuse(connection& entry, request_parser& parser, local_response response) {
    LogRefusal(parser.get(), response.reason, response.failure.message);
    const bool is_head = parser.get().method() == bhttp::verb::head;
    const bool expects = !parser.get()[bhttp::field::expect].empty();
    bool discarded = false;
    if (!expects) discarded = co_await DiscardBody(entry, parser, settings_.progress_timeout);
    co_return co_await SendLocalResponse(entry, response,
                                         discarded && parser.keep_alive() && !closing_, is_head,
                                         settings_.progress_timeout);
  }

  asio::awaitable<bool> HandleCall(std::size_t worker, connection& entry, request_parser& parser) {
    const active_request counted(active_);
    const auto call = ReadCallHeaders(parser.get());
    const auto target = Target();
    if (auto rejection = CheckCall(call, target)) {
      co_return co_await Refuse(entry, parser, std::move(*rejection));
    }
    switch (
        deps_.ledger.RecordArrival(call->attempt, call->time_left + kForwardedRetention, Now())) {
      case arrival_result::kNew:
        break;
      case arrival_result::kFenced:
        co_return co_await Refuse(entry, parser,
                                  NotRunResponse(503, "fenced", "the entry fenced the call"));
      case arrival_result::kDuplicate:
        co_return co_await Refuse(
            entry, parser, UnknownResponse(409, "duplicate", "", "the call has already arrived"));
    }
    const bool keep_open = co_await Admit(worker, entry, parser, *call);
    // Has no effect on a call that was forwarded; ensures that any other never will be.
    deps_.ledger.FenceIfNotForwarded(call->attempt);
    co_return keep_open;
  }

  asio::awaitable<bool> Admit(std::size_t worker, connection& entry, request_parser& parser,
                              gate_call call) {
    const time_point deadline = Now() + call.time_left;
    admission_request request{0,          call.route_kind, call.route,   call.concurrency,
                              call.queue, deadline,        call.priority};
    if (call.objective) request.objective = Now() + *call.objective;
    if (call.limit_per_second) slots_->OnEntryLimit(*call.limit_per_second);
    const auto waiter =
        std::make_shared<slot_controller::waiting_request>(entry.stream.get_executor());
    admission_decision decision;
    {
      const disconnect_watch watch(entry, [this, waiter] { slots_->CancelWait(waiter); });
      decision = co_await slots_->Acquire(std::move(request), waiter);
    }
    if (decision.action == admission_action::kRefuse) {
      const std::string reason = RefusalName(decision.reason);
      local_response refused =
          NotRunResponse(RefusalStatus(decision.reason), reason, "the call was not admitted");
      refused.load = FormatLoad(slots_->Load(call.route));
      refused.retry_after = slots_->RetryAfter();
      co_return co_await Refuse(entry, parser, std::move(refused));
    }
    const slot_controller::lease slot(slots_, call.route);
    // The target may have changed while the call waited.
    const auto target = Target();
    if (auto rejection = CheckCall(call, target)) {
      co_return co_await Refuse(entry, parser, std::move(*rejection));
    }
    co_return co_await ForwardToTarget(worker, entry, parser, std::move(call), *target, deadline);
  }

  /// Takes an idle connection to the target or opens one. A request that must not run twice never
  /// gets a connection that the target may be closing.
  asio::awaitable<result<connection_ptr>> ConnectToTarget(std::size_t worker, endpoint address,
                                                          bool repeatable) {
    const milliseconds max_age = repeatable ? kMaxIdleTime : kMaxIdleTimeNotRepeatable;
    if (auto idle = pools_[worker].TakeIdle(address, max_age)) co_return std::move(idle);
    co_return co_await Connect(address, settings_.connect_timeout);
  }

  asio::awaitable<bool> ForwardToTarget(std::size_t worker, connection& entry,
                                        request_parser& parser, gate_call call,
                                        current_target target, time_point deadline) {
    auto connected = co_await ConnectToTarget(worker, target.address, call.repeatable);
    if (!Ok(connected)) {
      const bool refused = Failure(connected).kind == error_kind::kUnavailable;
      if (refused && deps_.on_unreachable) deps_.on_unreachable(call.instance);
      co_return co_await Refuse(entry, parser,
                                NotRunResponse(503, "no-target", FormatError(Failure(connected))));
    }
    connection_ptr backend = std::move(Value(connected));
    const bool expects_continue = !parser.get()[bhttp::field::expect].empty();
    if (expects_continue) {
      const bool continue_sent = co_await SendContinue(entry, settings_.progress_timeout);
      if (!continue_sent) co_return false;
    }
    // An entry that closed its connection has abandoned the call; this daemon may have been paused
    // meanwhile.
    if (IsClosed(entry)) co_return false;
    if (IsKeyExpired(call)) co_return co_await Refuse(entry, parser, KeyExpiredResponse());
    if (!deps_.ledger.TryForward(call.attempt)) {
      co_return co_await Refuse(entry, parser,
                                NotRunResponse(503, "fenced", "the entry fenced the call"));
    }
    const bool is_head = parser.get().method() == bhttp::verb::head;
    PrepareRequest(parser.get(), call, deadline);
    body_upload_ptr upload;
    if (parser.is_done()) {
      std::uint64_t sent_bytes = 0;
      co_await TransferRequest(entry, parser, *backend, settings_.progress_timeout, sent_bytes);
    } else {
      upload = std::make_shared<body_upload>(entry, parser, *backend, settings_.progress_timeout);
      upload->Start();
    }
    const response_route route{worker, target.address, is_head, deadline};
    bool keep_open =
        co_await RelayResponse(route, entry, backend, call, upload.get(), parser.keep_alive());
    if (upload != nullptr && !upload->IsComplete()) {
      // The entry has the response already. The target may still read the body, and gets its rest
      // or a closed connection.
      if (backend != nullptr) co_await upload->Finish(kMaxUploadPause, deadline);
      keep_open = false;
    }
    co_return keep_open;
  }

  void PrepareRequest(request_message& message, const gate_call& call, time_point deadline) const {
    const http_conventions& conventions = settings_.conventions;
    const std::string depth(message[kDepthHeader]);
    RemoveRelayedFields(message, conventions);
    message.erase(bhttp::field::expect);
    const auto time_left = std::chrono::duration_cast<milliseconds>(deadline - Now());
    message.set(conventions.deadline_header,
                std::to_string(std::max<std::int64_t>(1, time_left.count())));
    message.set(kAttemptHeader, call.attempt);
    if (!conventions.instance_header.empty())
      message.set(conventions.instance_header, call.instance);
    if (!conventions.caller_service_header.empty()) {
      message.set(conventions.caller_service_header, call.caller_service);
    }
    if (!depth.empty()) message.set(kDepthHeader, depth);
    message.version(11);
    message.keep_alive(true);
  }

  /// What is needed to read a response, beside its connections.
  struct response_route {
    std::size_t worker;
    endpoint address;
    bool is_head;
    time_point deadline;
  };

  /// Reads the header of the target's response while the body of the request, if any, is sent.
  /// Fails if the entry disconnects, which is detected by a read of the upload, or by a watch once
  /// nothing is read from the entry any more.
  asio::awaitable<http::head_result> AwaitResponse(const response_route& route, connection& entry,
                                                   connection& backend, const gate_call& call,
                                                   body_upload* upload,
                                                   std::optional<response_parser>& parser,
                                                   bool& entry_disconnected) {
    std::optional<disconnect_watch> watch;
    const auto abandon = [&] {
      entry_disconnected = true;
      Abort(backend);
    };
    const auto start_watch = [&] { watch.emplace(entry, abandon); };
    if (upload == nullptr) {
      start_watch();
    } else {
      upload->OnDone([&] {
        if (upload->Outcome() == transfer_outcome::kReadFailed) abandon();
        if (upload->Outcome() == transfer_outcome::kComplete) start_watch();
      });
    }
    const response_read_context context{settings_, deps_.metrics};
    http::head_result head =
        co_await ReadResponseHeader(call, backend, parser, route.is_head, route.deadline, context);
    if (upload != nullptr) upload->OnDone(nullptr);
    co_return head;
  }

  /// Reads the target's response and forwards it to the entry. Takes the connection to the target
  /// if it can be used again.
  asio::awaitable<bool> RelayResponse(response_route route, connection& entry,
                                      connection_ptr& backend, gate_call call, body_upload* upload,
                                      bool keep_open) {
    const std::size_t worker = route.worker;
    const endpoint& address = route.address;
    const bool is_head = route.is_head;
    const time_point forwarded_at = Now();
    std::optional<response_parser> parser;
    bool entry_disconnected = false;
    http::head_result head =
        co_await AwaitResponse(route, entry, *backend, call, upload, parser, entry_disconnected);
    const bool body_sent = upload == nullptr || upload->IsComplete();
    keep_open = keep_open && body_sent;
    if (!head.failed) {
      ApplyLimit(call, parser->get());
      KeepLoad(call, parser->get());
      if (IsLeavingResponse(parser->get(), settings_.conventions)) EndNewRequests(call.instance);
    }
    if (!head.failed && IsNotRunResponse(parser->get(), settings_.conventions)) {
      if (!body_sent) co_await upload->Stop();
      co_return co_await RelayNotRun(worker, entry, std::move(backend), address, *parser, is_head,
                                     keep_open);
    }
    if (!head.failed && IsCorrupted(parser->get(), settings_.conventions)) {
      head.failed = bhttp::error::bad_value;
      head.problem = "a success without its proof";
    }
    if (head.failed) {
      Abort(*backend);
      if (!body_sent) co_await upload->Stop();
      if (entry_disconnected) co_return false;
      local_response lost = UnknownResponse(502, "target-lost", ToString(address), head.Message());
      if (head.failed == beast::error::timeout) {
        lost.status = 504;
        lost.reason = kReasonDeadline;
      } else {
        const bool crashed = co_await HasTargetStopped(address);
        if (crashed) {
          lost.reason = kReasonTargetCrashed;
          deps_.on_crash(call.fingerprint, call.instance);
        }
      }
      deps_.metrics.IncrementCounter("catkinmoor_gate_lost_total", {{"reason", lost.reason}});
      logging::Warning("no valid response from target, request may have run",
                       {{"request", call.request_id},
                        {"attempt", call.attempt},
                        {"instance", call.instance},
                        {"reason", lost.reason},
                        {"message", lost.failure.message}});
      co_return co_await SendLocalResponse(entry, lost, keep_open, is_head,
                                           settings_.progress_timeout);
    }
    const time_point received_at = upload != nullptr && body_sent ? upload->DoneAt() : forwarded_at;
    const auto processing_time = std::chrono::duration_cast<milliseconds>(Now() - received_at);
    const bool reusable = parser->keep_alive();
    const milliseconds idle_timeout = PeerIdleTimeout(parser->get());
    PrepareResponse(*parser, call.route, processing_time, keep_open);
    transfer_outcome transfer = transfer_outcome::kComplete;
    if (is_head) {
      transfer = co_await SendHeader(entry, *parser);
    } else {
      response_writer writer(parser->get(), IsOnThisVm(entry) ? nullptr : &pacer_);
      transfer =
          co_await TransferResponse(*backend, *parser, entry, writer, settings_.progress_timeout);
      if (transfer == transfer_outcome::kComplete) {
        slots_->RecordResponse(call.route, writer.body_bytes, processing_time);
      }
    }
    if (transfer != transfer_outcome::kComplete) {
      Abort(*backend);
      Abort(entry);
      if (!body_sent) co_await upload->Stop();
      co_return false;
    }
    deps_.ledger.RecordResponse(call.attempt);
    if (deps_.quarantine.OnResponse(call.fingerprint)) deps_.on_cleared(call.fingerprint);
    if (!reusable && !body_sent) co_await upload->Stop();
    if (reusable && body_sent) pools_[worker].Return(address, std::move(backend), idle_timeout);
    co_return keep_open;
  }

  bool IsCurrentTarget(const std::string& instance) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return target_ && target_->announcement.instance == instance;
  }

  void ApplyLimit(const gate_call& call, const response_message& response) {
    if (!IsCurrentTarget(call.instance)) return;
    const auto present = slots_->RateLimit();
    const auto limit = LimitOf(response, settings_.conventions, present);
    slots_->OnTargetResponse(limit);
    if (limit == present) return;
    logging::Info("request rate limit of the target changed",
                  {{"instance", call.instance},
                   {"per_minute", limit ? std::llround(*limit * kSecondsPerMinute) : -1}});
  }

  void ForgetLoad() {
    const std::lock_guard<std::mutex> lock(mutex_);
    target_load_.reset();
  }

  /// Keeps the load that a response of the current target states.
  void KeepLoad(const gate_call& call, const response_message& response) {
    const std::string& name = settings_.conventions.load_header;
    if (name.empty() || !IsCurrentTarget(call.instance)) return;
    const auto text = response[name];
    const auto load = ParseTargetLoad({text.data(), text.size()}, Now());
    if (!load) return;
    slots_->OnTargetPace(load->work_time_percent.value_or(0));
    const std::lock_guard<std::mutex> lock(mutex_);
    target_load_ = load;
  }

  /// Sends no new requests to an instance that is leaving.
  void EndNewRequests(const std::string& instance) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool is_current = target_ && target_->announcement.instance == instance;
      if (!is_current || target_->announcement.state != target_state::kReady) return;
      target_->announcement.state = target_state::kLeaving;
    }
    slots_->SetSlots(0);
    if (deps_.on_leaving) deps_.on_leaving(instance);
  }

  /// Whether the entry is on this vm, so that responses to it do not use the link.
  static bool IsOnThisVm(connection& entry) {
    beast::error_code failed;
    const auto local = entry.stream.socket().local_endpoint(failed);
    const auto remote = entry.stream.socket().remote_endpoint(failed);
    return !failed && local.address() == remote.address();
  }

  /// Reports to the entry that the target has not run a request.
  asio::awaitable<bool> RelayNotRun(std::size_t worker, connection& entry, connection_ptr backend,
                                    endpoint address, response_parser& response, bool is_head,
                                    bool keep_open) {
    const unsigned status = response.get().result_int();
    const std::string id(response.get()[kRequestIdHeader]);
    const std::string reason = status == 421 ? "other-target" : kReasonTargetRefused;
    deps_.metrics.IncrementCounter("catkinmoor_gate_refusals_total", {{"reason", reason}});
    logging::Info("target rejected call without running it",
                  {{"request", std::string_view(id.data(), id.size())},
                   {"reason", reason},
                   {"status", static_cast<std::int64_t>(status)}});
    local_response refused =
        NotRunResponse(503, reason, "the target responded with status " + std::to_string(status));
    // The refusal does not wait for the rest of a response that is not passed on.
    const bool sent =
        co_await SendLocalResponse(entry, refused, keep_open, is_head, settings_.progress_timeout);
    const milliseconds idle_timeout = PeerIdleTimeout(response.get());
    bool discarded = false;
    const bool is_open = backend->stream.socket().is_open();
    if (is_open && response.keep_alive()) {
      discarded = co_await DiscardResponseBody(*backend, response, DiscardDeadline());
    }
    if (discarded) pools_[worker].Return(address, std::move(backend), idle_timeout);
    co_return sent;
  }

  /// Checks, after a connection to the target was lost, whether the target has stopped listening.
  asio::awaitable<bool> HasTargetStopped(endpoint address) {
    const auto probe = co_await Connect(address, settings_.connect_timeout);
    if (!Ok(probe)) co_return Failure(probe).kind == error_kind::kUnavailable;
    // The kernel closes the sockets of a terminating process in no particular order, so its
    // listening socket may still accept a connection, which is then closed too.
    asio::steady_timer pause(co_await asio::this_coro::executor, kCrashCheckDelay);
    co_await pause.async_wait(kAwait);
    co_return IsClosed(*Value(probe));
  }

  asio::awaitable<transfer_outcome> SendHeader(connection& to, response_parser& parser) {
    bhttp::response_serializer<bhttp::buffer_body> serializer(parser.get());
    to.stream.expires_after(settings_.progress_timeout);
    auto [failed, count] = co_await bhttp::async_write_header(to.stream, serializer, kAwait);
    co_return failed ? transfer_outcome::kWriteFailed : transfer_outcome::kComplete;
  }

  void PrepareResponse(response_parser& parser, const std::string& route, milliseconds work,
                       bool keep_open) const {
    response_message& message = parser.get();
    const bool lacks_length = parser.need_eof();
    RemoveRelayedFields(message, settings_.conventions);
    if (lacks_length) message.chunked(true);
    message.set(kOutcomeHeader, kOutcomeRan);
    reported_load load = slots_->Load(route);
    load.work_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, work.count()));
    message.set(kLoadHeader, FormatLoad(load));
    message.version(11);
    message.keep_alive(keep_open);
  }

  worker_pool& workers_;
  gate_dependencies deps_;
  proxy_settings settings_;
  std::shared_ptr<slot_controller> slots_;
  link_pacer pacer_;
  std::deque<connection_pool> pools_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  mutable std::mutex mutex_;
  std::optional<current_target> target_;
  std::optional<target_load_report> target_load_;
  std::string last_instance_;
  std::atomic<std::size_t> active_ = 0;
  std::atomic<bool> closing_ = false;
};

gate_proxy::gate_proxy(worker_pool& workers, gate_dependencies dependencies,
                       proxy_settings settings)
    : impl_(std::make_shared<impl>(workers, dependencies, settings)) {
  workers.OnStopped([shared = impl_] { shared->ClearPools(); });
}

gate_proxy::~gate_proxy() = default;

result<done> gate_proxy::Listen(const endpoint& address) { return impl_->Listen(address); }

void gate_proxy::SetTarget(const endpoint& address, const target_announcement& target) {
  impl_->SetTarget(address, target);
}

void gate_proxy::RemoveTarget() { impl_->RemoveTarget(); }

void gate_proxy::Drain() { impl_->Drain(); }

void gate_proxy::StopAccepting() { impl_->StopAccepting(); }

std::size_t gate_proxy::ActiveRequests() const { return impl_->ActiveRequests(); }

std::optional<target_load_report> gate_proxy::TargetLoad() const { return impl_->TargetLoad(); }

request_fate gate_proxy::Fence(const fence_request& message) { return impl_->Fence(message); }

}  // namespace catkinmoor
