#include "proxy/internal/stream_http.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "proxy/internal/call_headers.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr std::size_t kDropBytes = 256U << 10U;

// Idle time of a connection whose peer states none; shorter than most servers' own.
constexpr milliseconds kUnstatedIdle{4'000};
// Taken off a stated idle time, which is whole seconds and counts from the peer's side.
constexpr milliseconds kIdleMargin{1'000};
// A peer that acknowledges nothing for so long is cut off; links answer within tens of
// milliseconds.
constexpr int kUnacknowledgedMs = 1'500;
// Probes of an idle or waiting connection, in seconds; together they find a dead peer in two.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

bool IsMalformed(const beast::error_code& failed) {
  return failed.category() == make_error_code(bhttp::error::bad_method).category() &&
         failed != bhttp::error::end_of_stream && failed != bhttp::error::partial_message;
}

own_answer AnswerFor(const beast::error_code& failed) {
  own_answer answer;
  answer.status = 400;
  if (failed == bhttp::error::header_limit) answer.status = 431;
  if (failed == bhttp::error::body_limit) answer.status = 413;
  answer.reason = "malformed";
  answer.failure = {error_kind::kInvalid, "read request", "", failed.message()};
  return answer;
}

/// The value of Retry-After. Whole seconds are rounded up, so that nobody comes back too early.
std::string RetryAfter(milliseconds after, bool fractional) {
  if (!fractional) return std::to_string((after.count() + 999) / 1000);
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(after.count()) / 1000);
  return text;
}

bool StartsWith(beast::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         beast::iequals(text.substr(0, prefix.size()), {prefix.data(), prefix.size()});
}

/// What a look at a socket without reading from it shows.
enum class peeked { kQuiet, kBytes, kClosed };

peeked Peek(connection& at) {
  char byte = 0;
  const auto count = ::recv(at.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return peeked::kBytes;
  const bool would_wait = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_wait ? peeked::kQuiet : peeked::kClosed;
}

/// An answer no longer than this is sent at once, ahead of longer ones that wait their turn.
constexpr std::uint64_t kShortAnswerBytes = 16U << 10U;

/// How the blocks of a body are moved.
struct block_pace {
  milliseconds progress;
  link_pacer* pacer = nullptr;

  bool Paced() const { return pacer != nullptr && pacer->Active(); }
  std::size_t BlockBytes() const { return Paced() ? pacer->BlockBytes() : kBlockBytes; }
};

/// Waits until the link is free for a block of a long body.
asio::awaitable<void> AwaitTurn(connection& to, link_pacer& pacer, std::size_t bytes) {
  const time_point now = Now();
  const time_point begin = pacer.Book(bytes, now);
  if (begin <= now) co_return;
  asio::steady_timer timer(to.stream.get_executor(), begin);
  co_await timer.async_wait(kAwait);
}

/// Moves blocks of a body from the parser's stream to the serializer's until both are done. The
/// sink is the message that the serializer writes; it may be another than the parser's.
template <bool kIsRequest>
asio::awaitable<transfer_outcome> TransferBlocks(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, connection& to,
    bhttp::serializer<kIsRequest, bhttp::buffer_body>& serializer,
    bhttp::message<kIsRequest, bhttp::buffer_body>& sink, block_pace pace, std::uint64_t& moved) {
  std::vector<char> block;
  do {
    std::size_t size = 0;
    bool more = false;
    if (!parser.is_done()) {
      if (block.empty()) {
        block.resize(pace.BlockBytes());
        // Reads are as large as the buffer has room, which starts out small.
        const auto left = parser.content_length_remaining();
        if (!left || *left > block.size() / 4) from.buffer.reserve(block.size());
      }
      parser.get().body().data = block.data();
      parser.get().body().size = block.size();
      from.stream.expires_after(pace.progress);
      auto [failed, count] =
          co_await bhttp::async_read_some(from.stream, from.buffer, parser, kAwait);
      if (failed && failed != bhttp::error::need_buffer) co_return transfer_outcome::kReadFailed;
      size = block.size() - parser.get().body().size;
      more = !parser.is_done();
      // An empty block would be written as the last chunk and end a body that goes on.
      if (size == 0 && more) continue;
    }
    if (pace.Paced() && moved + size > kShortAnswerBytes) {
      co_await AwaitTurn(to, *pace.pacer, size);
    }
    sink.body().data = size == 0 ? nullptr : block.data();
    sink.body().size = size;
    sink.body().more = more;
    to.stream.expires_after(pace.progress);
    auto [failed, count] = co_await bhttp::async_write(to.stream, serializer, kAwait);
    if (failed && failed != bhttp::error::need_buffer) co_return transfer_outcome::kWriteFailed;
    moved += size;
  } while (!parser.is_done() || !serializer.is_done());
  if (from.buffer.size() == 0) from.buffer.shrink_to_fit();
  co_return transfer_outcome::kWhole;
}

/// Sends a message's header and body. A body that has not begun to arrive does not hold back the
/// header.
template <bool kIsRequest>
asio::awaitable<transfer_outcome> TransferWhole(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, connection& to,
    bhttp::serializer<kIsRequest, bhttp::buffer_body>& serializer,
    bhttp::message<kIsRequest, bhttp::buffer_body>& sink, block_pace pace, std::uint64_t& moved) {
  if (!parser.is_done() && from.buffer.size() == 0 && !serializer.is_header_done()) {
    sink.body().data = nullptr;
    sink.body().more = true;
    serializer.split(true);
    to.stream.expires_after(pace.progress);
    auto [failed, count] = co_await bhttp::async_write_header(to.stream, serializer, kAwait);
    if (failed) co_return transfer_outcome::kWriteFailed;
  }
  co_return co_await TransferBlocks<kIsRequest>(from, parser, to, serializer, sink, pace, moved);
}

}  // namespace

void RemoveHopByHop(bhttp::fields& fields) {
  std::vector<std::string> listed;
  for (const auto& token : bhttp::token_list(fields[bhttp::field::connection])) {
    listed.emplace_back(token);
  }
  for (const std::string& name : listed) fields.erase(name);
  for (const auto name :
       {bhttp::field::connection, bhttp::field::keep_alive, bhttp::field::proxy_authenticate,
        bhttp::field::proxy_authorization, bhttp::field::proxy_connection, bhttp::field::te,
        bhttp::field::upgrade}) {
    fields.erase(name);
  }
}

void RemoveOwnHeaders(bhttp::fields& fields) {
  for (auto next = fields.begin(); next != fields.end();) {
    if (StartsWith(next->name_string(), kHeaderPrefix)) {
      next = fields.erase(next);
    } else {
      ++next;
    }
  }
}

asio::awaitable<read_result> ReadRequestHeader(connection& from, request_parser& parser,
                                               const proxy_settings& settings) {
  parser.header_limit(static_cast<std::uint32_t>(settings.header_bytes));
  parser.body_limit(static_cast<std::uint64_t>(settings.body_bytes));
  // The wait for a first byte may be long; a header that has begun must not dawdle.
  if (from.buffer.size() == 0) {
    from.stream.expires_after(settings.idle_timeout);
    auto [idle_failed, count] =
        co_await from.stream.async_read_some(from.buffer.prepare(kBlockBytes / 16), kAwait);
    if (idle_failed) co_return read_result{};
    from.buffer.commit(count);
  }
  from.stream.expires_after(settings.header_timeout);
  auto [failed, count] =
      co_await bhttp::async_read_header(from.stream, from.buffer, parser, kAwait);
  if (!failed) co_return read_result{read_outcome::kRequest, {}};
  if (failed == beast::error::timeout) {
    own_answer late = AnswerFor(failed);
    late.status = 408;
    late.reason = "slow-header";
    co_return read_result{read_outcome::kMalformed, std::move(late)};
  }
  if (!IsMalformed(failed)) co_return read_result{};
  co_return read_result{read_outcome::kMalformed, AnswerFor(failed)};
}

asio::awaitable<bool> SendOwnAnswer(connection& to, const own_answer& answer, bool keep_alive,
                                    bool head, milliseconds timeout, bool fractional_retry_after) {
  const boost::json::object failure{{"kind", KindName(answer.failure.kind)},
                                    {"step", answer.failure.step},
                                    {"peer", answer.failure.peer},
                                    {"message", answer.failure.message}};
  bhttp::response<bhttp::string_body> message(static_cast<bhttp::status>(answer.status), 11);
  message.set(bhttp::field::content_type, "application/json");
  message.set(kOutcomeHeader, answer.outcome);
  if (!answer.reason.empty()) message.set(kReasonHeader, answer.reason);
  if (!answer.load.empty()) {
    message.set(kLoadHeader, answer.load);
    message.set(kRetryHeader, std::to_string(answer.retry_after.count()));
  }
  if (answer.status == 503 || answer.status == 429) {
    message.set(bhttp::field::retry_after, RetryAfter(answer.retry_after, fractional_retry_after));
  }
  message.body() =
      boost::json::serialize(boost::json::object{{"outcome", answer.outcome}, {"error", failure}}) +
      "\n";
  message.keep_alive(keep_alive);
  message.prepare_payload();
  if (head) message.body().clear();
  to.stream.expires_after(timeout);
  auto [failed, count] = co_await bhttp::async_write(to.stream, message, kAwait);
  co_return !failed && keep_alive;
}

asio::awaitable<transfer_outcome> TransferRequest(connection& from, request_parser& parser,
                                                  connection& to, milliseconds progress) {
  bhttp::request_serializer<bhttp::buffer_body> serializer(parser.get());
  std::uint64_t moved = 0;
  const block_pace pace{progress};
  co_return co_await TransferWhole<true>(from, parser, to, serializer, parser.get(), pace, moved);
}

asio::awaitable<transfer_outcome> TransferAnswer(connection& from, response_parser& parser,
                                                 connection& to, answer_writer& writer,
                                                 milliseconds progress) {
  const block_pace pace{progress, writer.pacer};
  co_return co_await TransferWhole<false>(from, parser, to, writer.serializer, writer.message, pace,
                                          writer.body_bytes);
}

asio::awaitable<transfer_outcome> TransferBody(connection& from, request_parser& parser,
                                               connection& to, const std::string& begin,
                                               milliseconds progress) {
  bhttp::request_serializer<bhttp::buffer_body> serializer(parser.get());
  serializer.split(true);
  parser.get().body().data = nullptr;
  parser.get().body().more = true;
  // The serializer is taken past the header without sending it a second time.
  beast::error_code failed;
  while (!serializer.is_header_done()) {
    serializer.next(failed, [&](beast::error_code&, const auto& buffers) {
      serializer.consume(beast::buffer_bytes(buffers));
    });
    if (failed) co_return transfer_outcome::kWriteFailed;
  }
  if (!begin.empty()) {
    std::string block = begin;
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    to.stream.expires_after(progress);
    auto [write_failed, count] = co_await bhttp::async_write(to.stream, serializer, kAwait);
    const bool goes_on = !write_failed || write_failed == bhttp::error::need_buffer;
    if (!goes_on) co_return transfer_outcome::kWriteFailed;
  }
  std::uint64_t moved = 0;
  const block_pace pace{progress};
  co_return co_await TransferBlocks<true>(from, parser, to, serializer, parser.get(), pace, moved);
}

template <bool kIsRequest>
asio::awaitable<body_outcome> ReadWholeBody(connection& from,
                                            bhttp::parser<kIsRequest, bhttp::buffer_body>& parser,
                                            std::size_t bound, std::string& body,
                                            milliseconds progress) {
  while (!parser.is_done()) {
    const std::size_t used = body.size();
    if (used > bound) co_return body_outcome::kTooLong;
    const std::size_t room = std::min(bound + 1 - used, kBlockBytes / 4);
    body.resize(used + room);
    parser.get().body().data = body.data() + used;
    parser.get().body().size = room;
    from.stream.expires_after(progress);
    auto [failed, count] =
        co_await bhttp::async_read_some(from.stream, from.buffer, parser, kAwait);
    body.resize(used + room - parser.get().body().size);
    if (failed && failed != bhttp::error::need_buffer) {
      co_return IsMalformed(failed) ? body_outcome::kMalformed : body_outcome::kGone;
    }
  }
  co_return body.size() <= bound ? body_outcome::kWhole : body_outcome::kTooLong;
}

template asio::awaitable<body_outcome> ReadWholeBody<true>(connection&, request_parser&,
                                                           std::size_t, std::string&, milliseconds);
template asio::awaitable<body_outcome> ReadWholeBody<false>(connection&, response_parser&,
                                                            std::size_t, std::string&,
                                                            milliseconds);

asio::awaitable<bool> DropBody(connection& from, request_parser& parser, milliseconds progress) {
  std::string dropped;
  const body_outcome read = co_await ReadWholeBody(from, parser, kDropBytes, dropped, progress);
  co_return read == body_outcome::kWhole;
}

asio::awaitable<bool> SendContinue(connection& to, milliseconds timeout) {
  bhttp::response<bhttp::empty_body> message(bhttp::status::continue_, 11);
  to.stream.expires_after(timeout);
  auto [failed, count] = co_await bhttp::async_write(to.stream, message, kAwait);
  co_return !failed;
}

void Abort(connection& broken) {
  beast::error_code ignored;
  broken.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  broken.stream.socket().close(ignored);
}

bool IsClosed(connection& open) { return Peek(open) == peeked::kClosed; }

bool IsStale(connection& idle) { return Peek(idle) != peeked::kQuiet || idle.buffer.size() != 0; }

disconnect_watch::disconnect_watch(connection& watched, std::function<void()> on_gone)
    : watched_(watched), active_(std::make_shared<bool>(true)) {
  watched_.stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [this, active = active_, on_gone = std::move(on_gone)](const beast::error_code& failed) {
        if (!*active || failed) return;
        if (IsClosed(watched_)) on_gone();
      });
}

disconnect_watch::~disconnect_watch() {
  *active_ = false;
  beast::error_code ignored;
  watched_.stream.socket().cancel(ignored);
}

namespace {

/// Has the system find out about a peer that is gone or no longer reached.
void WatchPeer(asio::ip::tcp::socket& socket) {
  const auto set = [&](int level, int name, int value) {
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

}  // namespace

asio::awaitable<result<connection_ptr>> Connect(endpoint peer, milliseconds timeout) {
  beast::error_code bad_address;
  const auto address = asio::ip::make_address(peer.address, bad_address);
  if (bad_address) {
    co_return error{error_kind::kInvalid, "connect", ToString(peer), bad_address.message()};
  }
  auto opened = std::make_unique<connection>(beast::tcp_stream(co_await asio::this_coro::executor));
  opened->stream.expires_after(timeout);
  const asio::ip::tcp::endpoint remote(address, peer.port);
  auto [failed] = co_await opened->stream.async_connect(remote, kAwait);
  if (failed) {
    const bool late = failed == beast::error::timeout;
    co_return error{late ? error_kind::kTimeout : error_kind::kUnavailable, "connect",
                    ToString(peer), failed.message()};
  }
  beast::error_code ignored;
  opened->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  WatchPeer(opened->stream.socket());
  co_return std::move(opened);
}

milliseconds IdleTimeOf(const bhttp::fields& answer) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto text = answer[bhttp::field::keep_alive];
  const std::string_view value(text.data(), text.size());
  const auto found = value.find(kTimeout);
  if (found == std::string_view::npos) return kUnstatedIdle;
  std::string_view digits = value.substr(found + kTimeout.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseNumber(digits);
  if (!seconds) return kUnstatedIdle;
  return std::max(milliseconds(0), milliseconds(*seconds * 1000) - kIdleMargin);
}

connection_ptr connection_pool::TakeIdle(const endpoint& peer, milliseconds oldest) {
  const auto found = idle_.find(peer);
  if (found == idle_.end()) return nullptr;
  auto& held = found->second;
  const time_point now = Now();
  while (!held.empty()) {
    idle_connection last = std::move(held.back());
    held.pop_back();
    const milliseconds longest = std::min({oldest, last.usable, settings_.idle_timeout / 2});
    if (now - last.since < longest && !IsStale(*last.held)) return std::move(last.held);
  }
  return nullptr;
}

void connection_pool::Return(const endpoint& peer, connection_ptr idle, milliseconds usable) {
  auto& held = idle_[peer];
  if (static_cast<std::int64_t>(held.size()) >= limit_) return;
  idle->stream.expires_never();
  held.push_back({std::move(idle), Now(), usable});
}

result<std::unique_ptr<asio::ip::tcp::acceptor>> Bind(asio::io_context& context,
                                                      const endpoint& where) {
  beast::error_code failed;
  const auto address = asio::ip::make_address(where.address, failed);
  auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(context);
  if (!failed) acceptor->open(asio::ip::tcp::v4(), failed);
  if (!failed) acceptor->set_option(asio::socket_base::reuse_address(true), failed);
  if (!failed) acceptor->bind({address, where.port}, failed);
  if (!failed) acceptor->listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return error{error_kind::kUnavailable, "listen", ToString(where), failed.message()};
  }
  return acceptor;
}

}  // namespace catkinmoor::proxy_internal
