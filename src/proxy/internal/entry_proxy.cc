#include "proxy/entry_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <optional>
#include <random>

#include "framework/base/digest.h"
#include "proxy/internal/call_carrier.h"
#include "routing/route_matcher.h"

namespace catkinmoor {

using namespace proxy_internal;  // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kAcceptPause{10};
constexpr std::size_t kRequestIdLength = 128;

/// The host without a port.
std::string HostOf(const request_message& message) {
  const auto host = message[bhttp::field::host];
  return std::string(host.substr(0, host.find(':')));
}

std::string PathOf(const request_message& message) {
  const auto target = message.target();
  return std::string(target.substr(0, target.find('?')));
}

std::int64_t NumberIn(const request_message& message, const char* name, std::int64_t otherwise) {
  const auto text = message[name];
  return ParseNumber({text.data(), text.size()}).value_or(otherwise);
}

own_answer AnswerFor(no_route reason) {
  switch (reason) {
    case no_route::kWrongMethod:
      return NotRun(405, "wrong-method", "match route", "no route takes this method here");
    case no_route::kNotAllowed:
      return NotRun(403, "not-allowed", "match route", "the route is for internal calls only");
    case no_route::kNotFound:
      break;
  }
  return NotRun(404, "no-route", "match route", "no route takes this path");
}

}  // namespace

class entry_proxy::impl : public std::enable_shared_from_this<entry_proxy::impl> {
 public:
  impl(worker_pool& workers, entry_board board, peer_client& peers, proxy_settings settings)
      : workers_(workers),
        board_(board),
        settings_(settings),
        carrier_(board, peers, settings_, draining_) {
    std::random_device seed;
    for (std::size_t i = 0; i < workers.Size(); ++i) states_.emplace_back(settings_, seed());
  }

  result<done> Listen(const endpoint& where, entry_side side) {
    auto bound = Bind(workers_.Context(0), where);
    if (!Ok(bound)) return Failure(bound);
    acceptors_.push_back(std::move(Value(bound)));
    asio::co_spawn(workers_.Context(0), Accept(*acceptors_.back(), side), asio::detached);
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
        // Connections that wait for a request are closed; the others end after their answer.
        for (connection* each : self->states_[i].idle) each->stream.cancel();
      });
    }
  }

  std::size_t Active() const { return active_; }

  void ClearPools() {
    for (entry_worker& each : states_) each.pool.Clear();
  }

 private:
  /// Takes callers' connections. Under load a turn of the event loop takes long, so each turn takes
  /// all that wait: callers that are not taken soon give up and leave dead connections in line.
  asio::awaitable<void> Accept(asio::ip::tcp::acceptor& acceptor, entry_side side) {
    const auto self = shared_from_this();
    beast::error_code failed;
    acceptor.non_blocking(true, failed);
    while (!draining_) {
      auto [wait_failed] = co_await acceptor.async_wait(asio::socket_base::wait_read, kAwait);
      if (draining_) co_return;
      failed = wait_failed;
      while (!failed) {
        const std::size_t index = workers_.Next();
        asio::ip::tcp::socket socket(workers_.Context(index));
        acceptor.accept(socket, failed);
        if (!failed) StartServing(index, std::move(socket), side);
      }
      if (failed == asio::error::would_block) continue;
      asio::steady_timer pause(workers_.Context(0), kAcceptPause);
      co_await pause.async_wait(kAwait);
    }
  }

  void StartServing(std::size_t worker, asio::ip::tcp::socket socket, entry_side side) {
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto caller = std::make_unique<connection>(beast::tcp_stream(std::move(socket)));
    asio::co_spawn(workers_.Context(worker),
                   Serve(shared_from_this(), worker, std::move(caller), side), asio::detached);
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, std::size_t worker,
                                     connection_ptr caller, entry_side side) {
    bool keep = true;
    entry_worker& shared = self->states_[worker];
    while (keep && !self->draining_) {
      request_parser parser;
      shared.idle.insert(caller.get());
      const read_result read = co_await ReadRequestHeader(*caller, parser, self->settings_);
      shared.idle.erase(caller.get());
      if (read.what == read_outcome::kGone) break;
      if (read.what == read_outcome::kMalformed) {
        self->board_.metrics.Count("catkinmoor_entry_malformed_total");
        co_await SendOwnAnswer(*caller, read.answer, false, false,
                               self->settings_.progress_timeout);
        break;
      }
      const activity counted(self->active_);
      keep = co_await self->HandleRequest(shared, *caller, parser, side);
    }
    beast::error_code ignored;
    caller->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /// Finds the route of a request and fills the call's state, or yields why it is not served.
  std::optional<own_answer> Prepare(request_parser& parser, entry_side side, call_state& call,
                                    std::mt19937_64& random) {
    request_message& message = parser.get();
    call.started = Now();
    call.head = message.method() == bhttp::verb::head;
    call.keep_alive = parser.keep_alive();
    call.caller_expects = beast::iequals(message[bhttp::field::expect], "100-continue");
    const std::string host = HostOf(message);
    const std::string& mesh = settings_.mesh_document;
    call.service = mesh.empty() ? host.substr(0, host.find('.')) : mesh;
    if (side == entry_side::kTarget) call.depth = NumberIn(message, kDepthHeader, 0);
    const std::int64_t given =
        NumberIn(message, settings_.dialect.deadline_header.c_str(), INT64_MAX);
    call.request_id = std::string(message[kRequestIdHeader]);
    if (call.request_id.empty() || call.request_id.size() > kRequestIdLength) {
      call.request_id = RandomId();
    }
    if (message.count(bhttp::field::host) != 1) {
      return NotRun(400, "malformed", "read request", "a request names exactly one host");
    }
    if (!ready_) return NotRun(503, "not-ready", "entry", "the daemon has not joined yet");
    if (draining_) return NotRun(503, "draining", "entry", "the daemon is stopping");
    call.content = board_.documents.InForce(call.service);
    if (call.content == nullptr && !mesh.empty()) {
      return NotRun(503, "not-ready", "find document", "no configuration has been learnt yet");
    }
    if (call.content == nullptr) {
      return NotRun(404, "no-service", "find document", "no document for \"" + call.service + "\"");
    }
    const std::string path = PathOf(message);
    const request_view view{{message.method_string().data(), message.method_string().size()},
                            path,
                            [&](std::string_view name) {
                              const auto value =
                                  message[beast::string_view(name.data(), name.size())];
                              return std::string_view(value.data(), value.size());
                            },
                            side == entry_side::kTarget,
                            host};
    const auto found = FindRoute(*call.content, view);
    if (const auto* reason = std::get_if<no_route>(&found)) return AnswerFor(*reason);
    call.chosen = std::get<const route*>(found);
    call.split = DrawSplit(call.content->content, *call.chosen, random);
    call.service = call.split.service;
    if (call.depth >= settings_.max_depth) {
      return NotRun(508, "too-deep", "entry", "calls are nested too deeply");
    }
    milliseconds time = call.chosen->deadline;
    if (side == entry_side::kTarget || settings_.dialect.callers_state_deadlines) {
      time = std::min(time, milliseconds(given));
    }
    if (time.count() <= 0) return NotRun(504, "too-late", "entry", "the deadline has passed");
    call.deadline = call.started + time;
    RemoveHopByHop(message);
    RemoveOwnHeaders(message);
    message.erase(bhttp::field::expect);
    message.set(kRequestIdHeader, call.request_id);
    return std::nullopt;
  }

  /// Reads what a request that can be sent twice may hold of a body.
  asio::awaitable<body_outcome> ReadBody(connection& caller, request_parser& parser,
                                         call_state& call) {
    if (call.caller_expects) {
      const bool told = co_await SendContinue(caller, settings_.progress_timeout);
      if (!told) co_return body_outcome::kGone;
      call.caller_expects = false;
    }
    co_return co_await ReadWholeBody(caller, parser,
                                     static_cast<std::size_t>(settings_.replay_bytes), call.body,
                                     settings_.progress_timeout);
  }

  asio::awaitable<bool> HandleRequest(entry_worker& worker, connection& caller,
                                      request_parser& parser, entry_side side) {
    call_state call;
    if (auto refused = Prepare(parser, side, call, worker.random)) {
      co_return co_await carrier_.AnswerOwn(caller, parser, call, std::move(*refused));
    }
    const auto length = parser.content_length();
    call.streams = length && static_cast<std::int64_t>(*length) > settings_.replay_bytes;
    if (!call.streams && !parser.is_done()) {
      const body_outcome read = co_await ReadBody(caller, parser, call);
      if (read == body_outcome::kGone) co_return false;
      if (read == body_outcome::kMalformed) {
        call.keep_alive = false;
        own_answer refused = NotRun(400, "malformed", "read request", "the body is malformed");
        co_return co_await carrier_.AnswerOwn(caller, parser, call, std::move(refused));
      }
      // The rest of a long body in chunks is passed on as it arrives.
      call.streams = read == body_outcome::kTooLong;
    }
    call.fingerprint = Fingerprint(call.service, std::string(parser.get().method_string()),
                                   std::string(parser.get().target()), call.body);
    if (board_.quarantine.IsQuarantined(call.fingerprint, Now())) {
      own_answer refused = NotRun(503, kQuarantined, "entry",
                                  "requests like this one crashed targets: " + call.fingerprint);
      co_return co_await carrier_.AnswerOwn(caller, parser, call, std::move(refused));
    }
    co_return co_await carrier_.Carry(worker, caller, parser, call);
  }

  worker_pool& workers_;
  entry_board board_;
  proxy_settings settings_;
  std::deque<entry_worker> states_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::atomic<std::size_t> active_ = 0;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  call_carrier carrier_;
};

entry_proxy::entry_proxy(worker_pool& workers, entry_board board, peer_client& peers,
                         proxy_settings settings)
    : impl_(std::make_shared<impl>(workers, board, peers, settings)) {
  workers.OnStopped([shared = impl_] { shared->ClearPools(); });
}

entry_proxy::~entry_proxy() = default;

result<done> entry_proxy::Listen(const endpoint& where, entry_side side) {
  return impl_->Listen(where, side);
}

void entry_proxy::SetReady(bool ready) { impl_->SetReady(ready); }

void entry_proxy::Drain() { impl_->Drain(); }

std::size_t entry_proxy::Active() const { return impl_->Active(); }

}  // namespace catkinmoor
