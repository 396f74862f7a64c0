#include "proxy/entry_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <set>

#include "framework/base/digest.h"
#include "framework/logging/log.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/stream_http.h"
#include "routing/route_matcher.h"
#include "routing/target_selector.h"

namespace catkinmoor {

using namespace proxy_internal;  // NOLINT(google-build-using-namespace)

namespace {

// A gate remembers handed requests for at least this long, so its word on older ones is not taken.
constexpr milliseconds kGateMemory{30'000};
constexpr milliseconds kAcceptPause{10};
constexpr std::uint32_t kAnswerHeaderBytes = 64U << 10U;
constexpr std::size_t kRequestIdLength = 128;

/// A caller's request on its way through the entry.
struct call_state {
  std::string request_id;
  std::string service;
  active_document_ptr content;
  const route* chosen = nullptr;
  time_point started;
  time_point deadline;
  std::int64_t depth = 0;
  std::string body;
  std::string fingerprint;
  bool streams = false;
  bool caller_expects = false;
  bool head = false;
  bool keep_alive = true;
};

/// One wait for the answer of a gate, shared with what watches it.
struct answer_wait {
  explicit answer_wait(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  connection* gate = nullptr;
  bool active = true;
  request_fate verdict = request_fate::kUnknown;
};

/// How an attempt ended, with what is needed to deliver its answer.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kNotSent;
  bool gate_asked = false;
  bool body_used = false;
  bool caller_gone = false;
  bool silent = false;
  connection_ptr gate;
  std::unique_ptr<response_parser> answer;
  std::string reason;
  error failure;
};

own_answer NotRun(unsigned status, std::string reason, std::string step, std::string message) {
  return {status,
          kNotRun,
          std::move(reason),
          {error_kind::kRefused, std::move(step), "", std::move(message)}};
}

std::string ServiceOf(const request_message& message) {
  const auto host = message[bhttp::field::host];
  const std::string name(host.substr(0, host.find(':')));
  return name.substr(0, name.find('.'));
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
      : workers_(workers), board_(board), peers_(peers), settings_(settings) {
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
    for (worker_state& each : states_) each.pool.Clear();
  }

 private:
  /// What one worker's connections share.
  struct worker_state {
    worker_state(const proxy_settings& settings, std::uint64_t seed)
        : pool(settings), random(seed) {}

    connection_pool pool;
    std::mt19937_64 random;
    std::set<connection*> idle;
  };

  struct activity {
    explicit activity(std::atomic<std::size_t>& counter) : count(counter) { ++count; }
    ~activity() { --count; }
    activity(const activity&) = delete;
    activity& operator=(const activity&) = delete;
    std::atomic<std::size_t>& count;
  };

  asio::awaitable<void> Accept(asio::ip::tcp::acceptor& acceptor, entry_side side) {
    const auto self = shared_from_this();
    while (!draining_) {
      const std::size_t index = workers_.Next();
      auto [failed, socket] =
          co_await acceptor.async_accept(workers_.Context(index).get_executor(), kAwait);
      if (draining_) co_return;
      if (failed) {
        asio::steady_timer pause(workers_.Context(0), kAcceptPause);
        co_await pause.async_wait(kAwait);
        continue;
      }
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      auto caller = std::make_unique<connection>(beast::tcp_stream(std::move(socket)));
      asio::co_spawn(workers_.Context(index), Serve(self, index, std::move(caller), side),
                     asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, std::size_t worker,
                                     connection_ptr caller, entry_side side) {
    bool keep = true;
    worker_state& shared = self->states_[worker];
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
  std::optional<own_answer> Prepare(request_parser& parser, entry_side side, call_state& call) {
    request_message& message = parser.get();
    call.started = Now();
    call.head = message.method() == bhttp::verb::head;
    call.keep_alive = parser.keep_alive();
    call.caller_expects = beast::iequals(message[bhttp::field::expect], "100-continue");
    call.service = ServiceOf(message);
    if (side == entry_side::kTarget) call.depth = NumberIn(message, kDepthHeader, 0);
    const std::int64_t given = NumberIn(message, kDeadlineHeader, INT64_MAX);
    call.request_id = std::string(message[kRequestIdHeader]);
    if (call.request_id.empty() || call.request_id.size() > kRequestIdLength) {
      call.request_id = RandomId();
    }
    if (!ready_) return NotRun(503, "not-ready", "entry", "the daemon has not joined yet");
    if (draining_) return NotRun(503, "draining", "entry", "the daemon is stopping");
    call.content = board_.documents.InForce(call.service);
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
                            side == entry_side::kTarget};
    const auto found = FindRoute(call.content->content, view);
    if (const auto* reason = std::get_if<no_route>(&found)) return AnswerFor(*reason);
    call.chosen = std::get<const route*>(found);
    if (call.depth >= settings_.max_depth) {
      return NotRun(508, "too-deep", "entry", "calls are nested too deeply");
    }
    milliseconds time = call.chosen->deadline;
    if (side == entry_side::kTarget) time = std::min(time, milliseconds(given));
    if (time.count() <= 0) return NotRun(504, "too-late", "entry", "the deadline has passed");
    call.deadline = call.started + time;
    RemoveHopByHop(message);
    RemoveOwnHeaders(message);
    message.erase(bhttp::field::expect);
    message.set(kRequestIdHeader, call.request_id);
    return std::nullopt;
  }

  asio::awaitable<bool> HandleRequest(worker_state& worker, connection& caller,
                                      request_parser& parser, entry_side side) {
    call_state call;
    if (auto refused = Prepare(parser, side, call)) {
      co_return co_await AnswerOwn(caller, parser, call, std::move(*refused));
    }
    const auto length = parser.content_length();
    call.streams = !parser.is_done() &&
                   (!length || static_cast<std::int64_t>(*length) > settings_.replay_bytes);
    if (!call.streams && !parser.is_done()) {
      if (call.caller_expects) {
        const bool told = co_await SendContinue(caller, settings_.progress_timeout);
        if (!told) co_return false;
      }
      const bool whole =
          co_await ReadWholeBody(caller, parser, static_cast<std::size_t>(settings_.replay_bytes),
                                 call.body, settings_.progress_timeout);
      if (!whole) co_return false;
    }
    call.fingerprint = Fingerprint(call.service, std::string(parser.get().method_string()),
                                   std::string(parser.get().target()), call.body);
    if (board_.quarantine.IsQuarantined(call.fingerprint, Now())) {
      own_answer refused = NotRun(503, "quarantined", "entry",
                                  "requests like this one crashed targets: " + call.fingerprint);
      co_return co_await AnswerOwn(caller, parser, call, std::move(refused));
    }
    co_return co_await Carry(worker, caller, parser, call);
  }

  /// Tries targets until an answer can be delivered or none may be tried any more.
  asio::awaitable<bool> Carry(worker_state& worker, connection& caller, request_parser& parser,
                              call_state& call) {
    const document& content = call.content->content;
    const label_map split = DrawSplit(*call.chosen, worker.random);
    board_.budget.OnFirstTry(call.service, content.retry_budget, call.started);
    selection_context context = MakeContext();
    attempt_state state{.attempts_made = 0};
    std::size_t crashes = 0;
    own_answer last = NotRun(503, "no-target", "pick target", "no target takes this route now");
    for (;;) {
      context.now = Now();
      const auto eligible =
          EligibleTargets(content, *call.chosen, split, board_.members.TargetsOf(call.service));
      const member_ptr target = PickTarget(eligible, content, call.chosen->preference, context,
                                           board_.loads, worker.random);
      if (target == nullptr) break;
      context.tried.insert(target->vm);
      ++state.attempts_made;
      if (state.attempts_made > 1) Count("catkinmoor_retries_total", call);
      const std::string attempt_id = RandomId();
      const time_point sent_at = Now();
      attempt_result attempt =
          co_await TryTarget(worker, caller, parser, call, *target, attempt_id);
      if (attempt.caller_gone) co_return false;
      NoteLoad(*target, attempt);
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
        const request_fate fate = co_await AskGate(*target, attempt_id, sent_at, false);
        state.gate_asked = true;
        next = Decide(call, state,
                      fate == request_fate::kNeverHanded ? attempt_outcome::kFencedNotRun
                                                         : attempt_outcome::kLost);
      }
      if (next == next_step::kDeliver) {
        co_return co_await Deliver(worker, caller, parser, call, *target, std::move(attempt));
      }
      if (next == next_step::kSayUnknown) {
        const bool late = Now() >= call.deadline || attempt.reason == kDeadline;
        const unsigned status = late ? 504 : 502;
        own_answer unknown{status, kUnknown, "lost", std::move(attempt.failure)};
        co_return co_await AnswerOwn(caller, parser, call, std::move(unknown));
      }
      const std::string reason = attempt.reason.empty() ? "not-reached" : attempt.reason;
      last = {503, kNotRun, reason, std::move(attempt.failure)};
      if (next == next_step::kSayNotRun) break;
    }
    co_return co_await AnswerOwn(caller, parser, call, std::move(last));
  }

  next_step Decide(const call_state& call, attempt_state state, attempt_outcome outcome) {
    state.outcome = outcome;
    state.time_left = std::chrono::duration_cast<milliseconds>(call.deadline - Now());
    return DecideNext(*call.chosen, state, [&] {
      return board_.budget.Take(call.service, call.content->content.retry_budget, Now());
    });
  }

  selection_context MakeContext() const {
    const member_record self = board_.self.Get();
    return {self.vm, self.region, self.data_centre, {}, Now(), WallMilliseconds()};
  }

  void NoteLoad(const member_record& target, const attempt_result& attempt) {
    switch (attempt.outcome) {
      case attempt_outcome::kNotSent:
      case attempt_outcome::kLost:
        board_.loads.OnFailure(target.vm, Now());
        return;
      case attempt_outcome::kAnswered:
        board_.loads.OnSuccess(target.vm);
        break;
      case attempt_outcome::kRefused:
      case attempt_outcome::kRefusedByLoad:
      case attempt_outcome::kFencedNotRun:
        break;
    }
    if (attempt.answer == nullptr) return;
    const auto text = attempt.answer->get()[kLoadHeader];
    const auto load = ParseLoad({text.data(), text.size()});
    if (load) board_.loads.OnReport(target.vm, *load, Now());
  }

  /// Asks the gate over another connection what became of an attempt.
  asio::awaitable<request_fate> AskGate(member_record target, std::string attempt_id,
                                        time_point sent_at, bool spare_waiting) {
    const fence_request question{board_.self.Get().vm, std::move(attempt_id),
                                 target.version.incarnation, spare_waiting};
    auto reply = co_await peers_.Fence(target.control, question, settings_.fence_timeout);
    if (!Ok(reply) || Now() - sent_at >= kGateMemory) co_return request_fate::kUnknown;
    co_return Value(reply).fate;
  }

  gate_call MakeGateCall(const call_state& call, const member_record& target,
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
            call.fingerprint};
  }

  asio::awaitable<attempt_result> TryTarget(worker_state& worker, connection& caller,
                                            request_parser& parser, const call_state& call,
                                            member_record target, std::string attempt_id) {
    attempt_result attempt;
    attempt.gate = worker.pool.TakeIdle(target.gate);
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
      const auto wait = WatchSilence(attempt, target, attempt_id, Now());
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

  /// Has the gate asked about an attempt for as long as no answer comes. The connection may have
  /// gone silent while others work.
  std::shared_ptr<answer_wait> WatchSilence(const attempt_result& attempt,
                                            const member_record& target,
                                            const std::string& attempt_id, time_point sent_at) {
    auto wait = std::make_shared<answer_wait>(attempt.gate->stream.get_executor());
    wait->gate = attempt.gate.get();
    wait->timer.expires_after(settings_.silence_check);
    wait->timer.async_wait([self = shared_from_this(), wait, target, attempt_id,
                            sent_at](const beast::error_code& failed) {
      if (failed || !wait->active) return;
      asio::co_spawn(wait->timer.get_executor(),
                     self->AskWhileSilent(wait, target, attempt_id, sent_at), asio::detached);
    });
    return wait;
  }

  asio::awaitable<void> AskWhileSilent(std::shared_ptr<answer_wait> wait, member_record target,
                                       std::string attempt_id, time_point sent_at) {
    bool answered_before = false;
    while (wait->active) {
      const request_fate fate = co_await AskGate(target, attempt_id, sent_at, true);
      if (!wait->active) co_return;
      const bool answered = fate == request_fate::kAnswered;
      // An answer may have been on its way when the gate was asked first.
      if (fate == request_fate::kNeverHanded || (answered && answered_before)) {
        wait->verdict = fate;
        wait->gate->stream.cancel();
        co_return;
      }
      answered_before = answered;
      wait->timer.expires_after(settings_.silence_check);
      co_await wait->timer.async_wait(kAwait);
    }
  }

  static void TakeVerdict(const answer_wait& wait, attempt_result& attempt) {
    if (wait.verdict == request_fate::kUnknown || attempt.answer != nullptr) return;
    attempt.silent = true;
    attempt.gate_asked = true;
    attempt.caller_gone = false;
    if (wait.verdict == request_fate::kNeverHanded)
      attempt.outcome = attempt_outcome::kFencedNotRun;
    attempt.reason = "silent";
  }

  /// Sends a request whose body is at hand.
  asio::awaitable<void> SendWhole(request_parser& parser, const call_state& call,
                                  const gate_call& to_gate, attempt_result& attempt) {
    bhttp::request<bhttp::string_body> message(
        bhttp::request_header<>(static_cast<bhttp::request_header<>&>(parser.get())));
    message.body() = call.body;
    WriteCall(to_gate, message);
    message.set(kDepthHeader, std::to_string(call.depth + 1));
    message.version(11);
    message.keep_alive(true);
    if (!call.body.empty()) message.prepare_payload();
    attempt.gate->stream.expires_at(call.deadline);
    auto [failed, count] = co_await bhttp::async_write(attempt.gate->stream, message, kAwait);
    attempt.outcome = count == 0 ? attempt_outcome::kNotSent : attempt_outcome::kLost;
    if (failed) attempt.failure = {error_kind::kUnavailable, "send", "", failed.message()};
    // A gate that refused and closed may have left its answer behind, so reading is tried.
  }

  /// Offers a request whose body is not at hand, and streams the body once the gate asks for it.
  asio::awaitable<void> SendStreaming(connection& caller, request_parser& parser,
                                      const call_state& call, const gate_call& to_gate,
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
        co_await TransferBody(caller, parser, *attempt.gate, settings_.progress_timeout);
    if (sent == transfer_outcome::kReadFailed) {
      attempt.caller_gone = true;
      Abort(*attempt.gate);
    }
  }

  /// Reads the header of the gate's answer. Leaves the answer empty when none came.
  asio::awaitable<void> ReadAnswer(connection& caller, const call_state& call,
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

  /// Tells a target's answer from the gate's own words.
  asio::awaitable<void> Classify(worker_state& worker, member_record target,
                                 attempt_result& attempt) {
    const auto& answer = attempt.answer->get();
    const std::string outcome(answer[kOutcomeHeader]);
    if (outcome == kRan) {
      attempt.outcome = attempt_outcome::kAnswered;
      co_return;
    }
    attempt.reason = std::string(answer[kReasonHeader]);
    attempt.failure = {error_kind::kRefused, "gate", "", attempt.reason};
    if (outcome == kNotRun) {
      const bool load = attempt.reason == "queue-full" || attempt.reason == "too-late";
      attempt.outcome = load ? attempt_outcome::kRefusedByLoad : attempt_outcome::kRefused;
    } else {
      attempt.outcome = attempt_outcome::kLost;
      attempt.gate_asked = outcome == kUnknown;
    }
    const bool reusable = co_await DropAnswer(*attempt.gate, *attempt.answer);
    if (reusable) worker.pool.Return(target.gate, std::move(attempt.gate));
  }

  /// Reads a short answer to its end. False when the connection cannot be used again.
  asio::awaitable<bool> DropAnswer(connection& gate, response_parser& answer) {
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

  /// Sends a target's answer on to the caller.
  asio::awaitable<bool> Deliver(worker_state& worker, connection& caller, request_parser& parser,
                                const call_state& call, member_record target,
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
    transfer_outcome sent = transfer_outcome::kWhole;
    if (call.head) {
      bhttp::response_serializer<bhttp::buffer_body> serializer(message);
      caller.stream.expires_after(settings_.progress_timeout);
      auto [failed, count] = co_await bhttp::async_write_header(caller.stream, serializer, kAwait);
      if (failed) sent = transfer_outcome::kWriteFailed;
    } else {
      sent = co_await Transfer<false>(*attempt.gate, answer, caller, settings_.progress_timeout);
    }
    Record(call, status, sent == transfer_outcome::kWhole ? kRan : "cut");
    if (sent != transfer_outcome::kWhole) {
      Abort(*attempt.gate);
      Abort(caller);
      co_return false;
    }
    if (reusable) worker.pool.Return(target.gate, std::move(attempt.gate));
    co_return keep;
  }

  asio::awaitable<bool> AnswerOwn(connection& caller, request_parser& parser,
                                  const call_state& call, own_answer answer) {
    Record(call, answer.status, answer.outcome);
    if (answer.status >= 500) {
      logging::Info("request not served", {{"request", call.request_id},
                                           {"service", call.service},
                                           {"outcome", answer.outcome},
                                           {"reason", answer.reason},
                                           {"step", answer.failure.step},
                                           {"peer", answer.failure.peer}});
    }
    bool whole = false;
    if (!call.caller_expects) {
      whole = co_await DropBody(caller, parser, settings_.progress_timeout);
    }
    co_return co_await SendOwnAnswer(caller, answer, whole && call.keep_alive && !draining_,
                                     call.head, settings_.progress_timeout);
  }

  static metrics::labels LabelsOf(const call_state& call) {
    if (call.chosen == nullptr) return {{"service", "none"}};
    return {{"service", call.service}, {"class", std::string(ClassName(call.chosen->kind))}};
  }

  void Count(const char* name, const call_state& call) {
    board_.metrics.Count(name, LabelsOf(call));
  }

  void Record(const call_state& call, unsigned status, const char* outcome) {
    metrics::labels series = LabelsOf(call);
    board_.metrics.Observe("catkinmoor_request_seconds", Now() - call.started, series);
    series["outcome"] = outcome;
    series["status"] = std::to_string(status / 100) + "xx";
    board_.metrics.Count("catkinmoor_requests_total", series);
  }

  worker_pool& workers_;
  entry_board board_;
  peer_client& peers_;
  proxy_settings settings_;
  std::deque<worker_state> states_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::atomic<std::size_t> active_ = 0;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
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
