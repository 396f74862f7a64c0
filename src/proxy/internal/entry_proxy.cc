#include "proxy/entry_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <optional>
#include <random>

#include "framework/base/digest.h"
#include "proxy/internal/call_dispatcher.h"
#include "proxy/internal/key_admission.h"
#include "proxy/internal/quota_admission.h"
#include "proxy/internal/wire/message_fields.h"
#include "routing/route_matcher.h"
#include "workspace/caller_key.h"

namespace catkinmoor {

using namespace proxy_internal;  // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kAcceptRetryDelay{10};
constexpr std::size_t kMaxRequestIdLength = 128;

/// The request's host without the port.
std::string HostOf(const request_message& message) {
  const auto host = message[bhttp::field::host];
  return std::string(host.substr(0, host.find(':')));
}

std::string PathOf(const request_message& message) {
  const auto target = message.target();
  return std::string(target.substr(0, target.find('?')));
}

std::int64_t HeaderNumber(const request_message& message, const char* name, std::int64_t fallback) {
  const auto text = message[name];
  return ParseInteger({text.data(), text.size()}).value_or(fallback);
}

local_response StoppingResponse() {
  return NotRunResponse(503, kReasonDraining, "entry", "the daemon is stopping");
}

local_response NoRouteResponse(route_mismatch reason) {
  switch (reason) {
    case route_mismatch::kWrongMethod:
      return NotRunResponse(405, "wrong-method", "match route",
                            "no route for this path allows this method");
    case route_mismatch::kCallerNotAllowed:
      return NotRunResponse(403, "not-allowed", "match route",
                            "the route is for calls within the mesh only");
    case route_mismatch::kNotFound:
      break;
  }
  return NotRunResponse(404, "no-route", "match route", "no route matches this path");
}

}  // namespace

class entry_proxy::impl : public std::enable_shared_from_this<entry_proxy::impl> {
 public:
  impl(worker_pool& workers, entry_dependencies dependencies, peer_client& peers,
       proxy_settings settings)
      : workers_(workers),
        deps_(dependencies),
        settings_(settings),
        dispatcher_(dependencies, peers, settings_, draining_, stop_) {
    std::random_device seed;
    for (std::size_t i = 0; i < workers.Size(); ++i) worker_states_.emplace_back(settings_, seed());
  }

  result<done> Listen(const endpoint& address, listener_kind kind) {
    auto bound = Bind(workers_.Context(0), address);
    if (!Ok(bound)) return Failure(bound);
    acceptors_.push_back(std::move(Value(bound)));
    asio::co_spawn(workers_.Context(0), Accept(*acceptors_.back(), kind), asio::detached);
    return done{};
  }

  void SetReady(bool ready) { ready_ = ready; }

  void Drain() {
    draining_ = true;
    asio::post(workers_.Context(0), [self = shared_from_this()] {
      beast::error_code ignored;
      for (auto& each : self->acceptors_) each->close(ignored);
    });
    for (std::size_t i = 0; i < workers_.Size(); ++i) {
      asio::post(workers_.Context(i), [self = shared_from_this(), i] {
        // Close connections that wait for a request; the others end after their response.
        for (connection* each : self->worker_states_[i].idle_callers) each->stream.cancel();
      });
    }
  }

  void LimitDeadlines(time_point last_deadline) { stop_.SetLastDeadline(last_deadline); }

  void EndAttempts() {
    stop_.EndAttempts();
    for (std::size_t i = 0; i < workers_.Size(); ++i) {
      asio::post(workers_.Context(i), [self = shared_from_this(), i] {
        entry_worker_state& worker = self->worker_states_[i];
        for (connection* each : worker.sending_callers) each->stream.cancel();
        for (response_wait* each : worker.response_waits) each->timer.cancel();
      });
    }
  }

  void EndWaits() {
    for (std::size_t i = 0; i < workers_.Size(); ++i) {
      asio::post(workers_.Context(i), [self = shared_from_this(), i] {
        for (response_wait* each : self->worker_states_[i].response_waits) {
          each->ended_by_stop = true;
          Abort(*each->gate);
        }
      });
    }
  }

  std::size_t ActiveRequests() const { return active_; }

  void ClearPools() {
    for (entry_worker_state& each : worker_states_) each.pool.Clear();
  }

 private:
  /// Accepts callers' connections. An iteration of the event loop is slow under load, so each one
  /// accepts all pending connections: callers that wait too long give up and leave dead connections
  /// in the backlog.
  asio::awaitable<void> Accept(asio::ip::tcp::acceptor& acceptor, listener_kind kind) {
    const auto self = shared_from_this();
    beast::error_code failed;
    acceptor.non_blocking(true, failed);
    while (!draining_) {
      auto [wait_failed] = co_await acceptor.async_wait(asio::socket_base::wait_read, kAwait);
      if (draining_) co_return;
      failed = wait_failed;
      while (!failed) {
        const bool accepts = deps_.connections == nullptr || deps_.connections->MayAccept();
        if (!accepts) break;
        const std::size_t index = workers_.NextIndex();
        asio::ip::tcp::socket socket(workers_.Context(index));
        acceptor.accept(socket, failed);
        if (!failed) StartServing(index, std::move(socket), kind);
      }
      if (failed == asio::error::would_block) continue;
      asio::steady_timer pause(workers_.Context(0), kAcceptRetryDelay);
      co_await pause.async_wait(kAwait);
    }
  }

  /// The largest header that callers may send, by the setting or the document for all hosts.
  std::int64_t MaxHeaderBytes() const {
    if (settings_.mesh_document.empty()) return settings_.max_header_bytes;
    const auto document = deps_.documents.InForce(settings_.mesh_document);
    if (document == nullptr) return settings_.max_header_bytes;
    return std::max(settings_.max_header_bytes, document->content.header_bytes);
  }

  void StartServing(std::size_t worker, asio::ip::tcp::socket socket, listener_kind kind) {
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto opened = std::make_unique<connection>(beast::tcp_stream(std::move(socket)));
    OpenAccount(*opened, deps_.connections, holder_kind::kCaller);
    auto caller = std::make_shared<caller_session>(std::move(opened),
                                                   static_cast<std::size_t>(MaxHeaderBytes()));
    asio::co_spawn(workers_.Context(worker),
                   Serve(shared_from_this(), worker, std::move(caller), kind), asio::detached);
  }

  /// A request of a caller from the reading of its head to its response.
  struct caller_request {
    request_parser parser;
    call_state call;
    /// Set if the request is refused before any target is asked.
    std::optional<local_response> refusal;
    std::optional<active_request> counted;

    bool IsRepeatable() const {
      return refusal || (call.matched_route != nullptr && call.matched_route->repeatable);
    }
  };
  using caller_request_ptr = std::shared_ptr<caller_request>;

  /// Reads the requests of one connection. Each runs in a coroutine of its own, so that further
  /// ones are read and started meanwhile.
  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, std::size_t worker,
                                     std::shared_ptr<caller_session> caller, listener_kind kind) {
    entry_worker_state& state = self->worker_states_[worker];
    bool reads_on = true;
    while (reads_on) {
      co_await caller->AwaitNextRequest();
      const bool stops = caller->IsEmpty() && self->draining_;
      if (caller->IsClosed() || stops) break;
      reads_on = co_await self->ReadRequest(state, caller, kind);
    }
    co_await caller->AwaitEmpty();
    caller->End();
  }

  /// Reads one request and starts it. Returns false if no further request can be read.
  asio::awaitable<bool> ReadRequest(entry_worker_state& worker,
                                    std::shared_ptr<caller_session> caller, listener_kind kind) {
    connection& from = caller->Caller();
    const auto request = std::make_shared<caller_request>();
    const bool is_idle = caller->IsEmpty();
    if (is_idle) worker.idle_callers.insert(&from);
    const read_result read =
        co_await ReadRequestHeader(from, request->parser, settings_, MaxHeaderBytes(), !is_idle);
    worker.idle_callers.erase(&from);
    if (read.outcome == read_outcome::kDisconnected) co_return false;
    if (read.outcome == read_outcome::kMalformed) {
      co_await caller->AwaitEmpty();
      if (caller->IsClosed()) co_return false;
      deps_.metrics.IncrementCounter("catkinmoor_entry_malformed_total");
      co_await SendLocalResponse(from, read.response, false, false, settings_.progress_timeout);
      co_return false;
    }
    request->counted.emplace(active_);
    if (!is_idle) deps_.metrics.IncrementCounter("catkinmoor_entry_pipelined_total");
    request->refusal = Prepare(request->parser, kind, request->call, worker.random);
    request->call.turn = caller->Add(read.request_bytes);
    if (!request->call.keep_alive) caller->StopReading();
    if (!request->parser.is_done()) {
      // A body can be read, and its "100 Continue" be sent, only once all before are answered.
      if (!is_idle) caller->Watch();
      const bool has_turn = co_await caller->AwaitTurn(request->call.turn);
      caller->Unwatch();
      if (!has_turn) {
        caller->Finish(request->call.turn, false);
        co_return false;
      }
      const bool keeps = co_await ReadShortBody(worker, from, *request);
      if (!keeps) {
        caller->Finish(request->call.turn, false);
        co_return false;
      }
    }
    const bool body_unread = !request->parser.is_done();
    asio::co_spawn(from.stream.get_executor(), Run(shared_from_this(), &worker, caller, request),
                   asio::detached);
    // The coroutine of the request reads the rest of the body.
    if (body_unread) co_await caller->AwaitFinished(request->call.turn);
    co_return true;
  }

  /// Runs a request whose head, and short body, have been read.
  static asio::awaitable<void> Run(std::shared_ptr<impl> self, entry_worker_state* worker,
                                   std::shared_ptr<caller_session> caller,
                                   caller_request_ptr request) {
    const response_order::ticket turn = request->call.turn;
    bool may_run = true;
    if (!request->IsRepeatable()) {
      // Not run behind a response that closes the connection: the caller would send it again.
      // Its time counts from the reading of its head, since the caller waits from then on.
      may_run = co_await caller->AwaitTurn(turn);
    }
    bool keep_open = false;
    if (may_run) keep_open = co_await self->HandleRequest(*worker, *caller, *request);
    // A request that ends without a response must not end those before it.
    co_await caller->AwaitTurn(turn);
    caller->Finish(turn, keep_open);
  }

  /// Matches a request to a route and fills the call's state. Returns the response if the request
  /// is not served.
  std::optional<local_response> Prepare(request_parser& parser, listener_kind kind,
                                        call_state& call, std::mt19937_64& random) {
    request_message& message = parser.get();
    call.started = Now();
    call.is_head = message.method() == bhttp::verb::head;
    call.keep_alive = parser.keep_alive();
    call.expects_continue = beast::iequals(message[bhttp::field::expect], "100-continue");
    const std::string host = HostOf(message);
    const std::string& mesh_document = settings_.mesh_document;
    call.service = mesh_document.empty() ? host.substr(0, host.find('.')) : mesh_document;
    if (kind == listener_kind::kExit) call.depth = HeaderNumber(message, kDepthHeader, 0);
    const std::int64_t stated_deadline_ms =
        HeaderNumber(message, settings_.conventions.deadline_header.c_str(), INT64_MAX);
    call.request_id = std::string(message[kRequestIdHeader]);
    if (call.request_id.empty() || call.request_id.size() > kMaxRequestIdLength) {
      call.request_id = RandomId();
    }
    // Before any field is set, so that a caller can neither state nor remove one of the daemon's.
    RemoveCallerFields(message, settings_.conventions);
    if (message.count(bhttp::field::host) != 1) {
      return NotRunResponse(400, "malformed", "read request",
                            "a request must have exactly one Host header");
    }
    if (!ready_) return NotRunResponse(503, "not-ready", "entry", "the daemon has not joined yet");
    if (draining_) return StoppingResponse();
    call.document = deps_.documents.InForce(call.service);
    if (call.document == nullptr && !mesh_document.empty()) {
      return NotRunResponse(503, "not-ready", "find document",
                            "no configuration has been received yet");
    }
    if (call.document == nullptr) {
      return NotRunResponse(404, "no-service", "find document",
                            "no document for \"" + call.service + "\"");
    }
    const std::string path = PathOf(message);
    const request_view view{{message.method_string().data(), message.method_string().size()},
                            path,
                            [&](std::string_view name) {
                              const auto value =
                                  message[beast::string_view(name.data(), name.size())];
                              return std::string_view(value.data(), value.size());
                            },
                            kind == listener_kind::kExit,
                            host};
    const auto match = FindRoute(*call.document, view);
    if (const auto* reason = std::get_if<route_mismatch>(&match)) return NoRouteResponse(*reason);
    call.matched_route = std::get<const route*>(match);
    call.priority = call.matched_route->priority;
    if (auto refused = ApplyCallerKey(message, call)) return refused;
    call.split = PickSplit(call.document->content, *call.matched_route, random);
    call.service = call.split.service;
    if (call.depth >= settings_.max_call_depth) {
      return NotRunResponse(508, "too-deep", "entry", "maximum call depth reached");
    }
    milliseconds limit = call.matched_route->deadline;
    if (kind == listener_kind::kExit || settings_.conventions.honour_caller_deadlines) {
      limit = std::min(limit, milliseconds(stated_deadline_ms));
    }
    if (limit.count() <= 0) return NotRunResponse(504, "too-late", "entry", "deadline has passed");
    call.deadline = call.started + limit;
    message.set(kRequestIdHeader, call.request_id);
    return std::nullopt;
  }

  /// Finds the workspace of the caller's key and replaces the key by the workspace's name. Returns
  /// the response if the key is missing or unknown.
  std::optional<local_response> ApplyCallerKey(request_message& message, call_state& call) {
    const http_conventions& conventions = settings_.conventions;
    if (conventions.key_header.empty() || call.document->content.workspaces.empty()) {
      return std::nullopt;
    }
    const std::string key(
        CredentialsOf(SingleValue(message, conventions.key_header), conventions.key_scheme));
    message.erase(conventions.key_header);
    const boot_time_point valid_until = deps_.key_proofs.ValidUntil();
    const parsed_document_ptr held = deps_.documents.Held(call.document->source.service);
    const key_check checked = CheckKey(*call.document, held.get(), *call.matched_route, key);
    if (checked.outcome == key_outcome::kRefused) {
      return NotRunResponse(401, "unknown-key", "check key", "the key is missing or not known");
    }
    call.caller_workspace = checked.found;
    if (checked.found == nullptr) return std::nullopt;
    if (auto refused = AdmitKey(deps_, key, valid_until, call)) return refused;
    message.set(conventions.workspace_header, checked.found->name);
    if (checked.found->priority >= 0) call.priority = checked.found->priority;
    return std::nullopt;
  }

  /// Buffers a body up to the size at which the request can still be sent again.
  asio::awaitable<body_outcome> BufferBody(connection& caller, request_parser& parser,
                                           call_state& call) {
    if (call.expects_continue) {
      const bool continue_sent = co_await SendContinue(caller, settings_.progress_timeout);
      if (!continue_sent) co_return body_outcome::kDisconnected;
      call.expects_continue = false;
    }
    co_return co_await ReadRemainingBody(caller, parser,
                                         static_cast<std::size_t>(settings_.max_replay_bytes),
                                         call.body, settings_.progress_timeout);
  }

  /// Reads a body that is short enough to be sent again; the rest of a longer one is streamed.
  /// Returns false if the caller has disconnected.
  asio::awaitable<bool> ReadShortBody(entry_worker_state& worker, connection& caller,
                                      caller_request& request) {
    if (request.refusal) co_return true;
    call_state& call = request.call;
    const auto length = request.parser.content_length();
    call.streams_body = length && static_cast<std::int64_t>(*length) > settings_.max_replay_bytes;
    if (call.streams_body) co_return true;
    worker.sending_callers.insert(&caller);
    const body_outcome outcome = co_await BufferBody(caller, request.parser, call);
    worker.sending_callers.erase(&caller);
    if (outcome == body_outcome::kDisconnected) {
      if (!stop_.AttemptsEnded()) co_return false;
      call.keep_alive = false;
      request.refusal = StoppingResponse();
    }
    if (outcome == body_outcome::kTurnedAway) {
      call.keep_alive = false;
      request.refusal = TurnedAwayResponse();
    }
    if (outcome == body_outcome::kMalformed) {
      call.keep_alive = false;
      request.refusal = NotRunResponse(400, "malformed", "read request", "the body is malformed");
    }
    // The rest of a long chunked body is streamed.
    call.streams_body = outcome == body_outcome::kTooLong;
    co_return true;
  }

  asio::awaitable<bool> HandleRequest(entry_worker_state& worker, caller_session& caller,
                                      caller_request& request) {
    request_parser& parser = request.parser;
    call_state& call = request.call;
    if (request.refusal) {
      co_return co_await dispatcher_.RespondLocally(caller, parser, call,
                                                    std::move(*request.refusal));
    }
    call.fingerprint = RequestFingerprint(call.service, std::string(parser.get().method_string()),
                                          std::string(parser.get().target()), call.body);
    if (deps_.quarantine.IsQuarantined(call.fingerprint, Now())) {
      local_response refused =
          NotRunResponse(503, kReasonQuarantined, "entry",
                         "requests with this fingerprint crashed targets: " + call.fingerprint);
      co_return co_await dispatcher_.RespondLocally(caller, parser, call, std::move(refused));
    }
    auto over_quota = co_await TakePermit(deps_.quotas, call);
    if (over_quota) {
      co_return co_await dispatcher_.RespondLocally(caller, parser, call, std::move(*over_quota));
    }
    co_return co_await dispatcher_.Dispatch(worker, caller, parser, call);
  }

  worker_pool& workers_;
  entry_dependencies deps_;
  proxy_settings settings_;
  std::deque<entry_worker_state> worker_states_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::atomic<std::size_t> active_ = 0;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  stop_limits stop_;
  call_dispatcher dispatcher_;
};

entry_proxy::entry_proxy(worker_pool& workers, entry_dependencies dependencies, peer_client& peers,
                         proxy_settings settings)
    : impl_(std::make_shared<impl>(workers, dependencies, peers, settings)) {
  workers.OnStopped([shared = impl_] { shared->ClearPools(); });
}

entry_proxy::~entry_proxy() = default;

result<done> entry_proxy::Listen(const endpoint& address, listener_kind kind) {
  return impl_->Listen(address, kind);
}

void entry_proxy::SetReady(bool ready) { impl_->SetReady(ready); }

void entry_proxy::LimitDeadlines(time_point last_deadline) { impl_->LimitDeadlines(last_deadline); }

void entry_proxy::Drain() { impl_->Drain(); }

void entry_proxy::EndAttempts() { impl_->EndAttempts(); }

void entry_proxy::EndWaits() { impl_->EndWaits(); }

std::size_t entry_proxy::ActiveRequests() const { return impl_->ActiveRequests(); }

}  // namespace catkinmoor
