#include "proxy/internal/http_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "framework/http/response_head.h"
#include "proxy/internal/call_headers.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr std::size_t kMaxDiscardedBytes = 256U << 10U;

// Idle timeout assumed for a peer that states none; shorter than the usual server defaults.
constexpr milliseconds kDefaultPeerIdleTimeout{4'000};
// Subtracted from a stated idle timeout, which is in whole seconds and measured by the peer.
constexpr milliseconds kPeerIdleMargin{1'000};
// A connection is closed if its peer acknowledges no data for this long; round trips take tens of
// milliseconds.
constexpr int kUnacknowledgedTimeoutMs = 1'500;
// TCP keepalive interval and probe count of an idle or waiting connection; a dead peer is detected
// within two seconds.
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;

bool IsMalformed(const beast::error_code& failed) {
  return failed.category() == make_error_code(bhttp::error::bad_method).category() &&
         failed != bhttp::error::end_of_stream && failed != bhttp::error::partial_message;
}

local_response MalformedRequestResponse(const beast::error_code& failed) {
  local_response response;
  response.status = 400;
  if (failed == bhttp::error::header_limit) response.status = 431;
  if (failed == bhttp::error::body_limit) response.status = 413;
  response.reason = "malformed";
  response.failure = {error_kind::kInvalid, "read request", "", failed.message()};
  return response;
}

/// Formats the value of Retry-After. Whole seconds are rounded up, so that no caller retries too
/// early.
std::string FormatRetryAfter(milliseconds after, bool fractional) {
  if (!fractional) return std::to_string((after.count() + 999) / 1000);
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(after.count()) / 1000);
  return text;
}

bool StartsWith(beast::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         beast::iequals(text.substr(0, prefix.size()), {prefix.data(), prefix.size()});
}

/// State of a socket, found without reading from it.
enum class socket_state { kNoData, kDataPending, kClosed };

socket_state Peek(connection& open) {
  char byte = 0;
  const auto count =
      ::recv(open.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return socket_state::kDataPending;
  const bool would_block = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? socket_state::kNoData : socket_state::kClosed;
}

/// Responses up to this size are not paced: they are sent at once, ahead of longer ones that wait
/// for the link.
constexpr std::uint64_t kShortResponseBytes = 16U << 10U;

/// Timeout and pacing for the blocks of a body.
struct transfer_pacing {
  milliseconds progress_timeout;
  link_pacer* pacer = nullptr;

  bool IsPaced() const { return pacer != nullptr && pacer->Enabled(); }
  std::size_t MaxBlockBytes() const { return IsPaced() ? pacer->MaxBlockBytes() : kBlockBytes; }
};

/// Waits until the link is available for a block of a long body.
asio::awaitable<void> WaitForLink(connection& to, link_pacer& pacer, std::size_t bytes) {
  const time_point now = Now();
  const time_point begin = pacer.Reserve(bytes, now);
  if (begin <= now) co_return;
  asio::steady_timer timer(to.stream.get_executor(), begin);
  co_await timer.async_wait(kAwait);
}

/// Whether a response that ends with its connection was cut by a reset. A write that failed before
/// may have consumed the reset's error; the reads after it then end like those after an orderly
/// close.
template <bool kIsRequest>
bool EndedByReset(connection& from, const bhttp::parser<kIsRequest, bhttp::buffer_body>& parser) {
  if (kIsRequest || !parser.need_eof()) return false;
  return from.write_failed ||
         http::HowEnded(from.stream.socket().native_handle()) == http::connection_end::kReset;
}

/// Copies a body block by block from the parser's stream to the serializer's until both are done.
/// The sink is the message that the serializer writes; it may differ from the parser's.
template <bool kIsRequest>
asio::awaitable<transfer_outcome> TransferBlocks(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, connection& to,
    bhttp::serializer<kIsRequest, bhttp::buffer_body>& serializer,
    bhttp::message<kIsRequest, bhttp::buffer_body>& sink, transfer_pacing pacing,
    std::uint64_t& transferred_bytes) {
  std::vector<char> block;
  do {
    std::size_t size = 0;
    bool more = false;
    if (!parser.is_done()) {
      if (block.empty()) {
        block.resize(pacing.MaxBlockBytes());
        // A read is limited to the buffer's capacity, which is small at first.
        const auto left = parser.content_length_remaining();
        if (!left || *left > block.size() / 4) from.buffer.reserve(block.size());
      }
      parser.get().body().data = block.data();
      parser.get().body().size = block.size();
      from.stream.expires_after(pacing.progress_timeout);
      auto [failed, count] =
          co_await bhttp::async_read_some(from.stream, from.buffer, parser, kAwait);
      if (failed && failed != bhttp::error::need_buffer) co_return transfer_outcome::kReadFailed;
      size = block.size() - parser.get().body().size;
      more = !parser.is_done();
      if (!more && EndedByReset(from, parser)) co_return transfer_outcome::kReadFailed;
      // An empty block would be written as the last chunk and end a body that is not complete.
      if (size == 0 && more) continue;
    }
    if (pacing.IsPaced() && transferred_bytes + size > kShortResponseBytes) {
      co_await WaitForLink(to, *pacing.pacer, size);
    }
    sink.body().data = size == 0 ? nullptr : block.data();
    sink.body().size = size;
    sink.body().more = more;
    to.stream.expires_after(pacing.progress_timeout);
    auto [failed, count] = co_await bhttp::async_write(to.stream, serializer, kAwait);
    if (failed && failed != bhttp::error::need_buffer) {
      to.write_failed = true;
      co_return transfer_outcome::kWriteFailed;
    }
    transferred_bytes += size;
  } while (!parser.is_done() || !serializer.is_done());
  if (from.buffer.size() == 0) from.buffer.shrink_to_fit();
  co_return transfer_outcome::kComplete;
}

/// Sends a message's header and body. If no part of the body has arrived yet, the header is sent
/// without waiting for the body.
template <bool kIsRequest>
asio::awaitable<transfer_outcome> TransferMessage(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, connection& to,
    bhttp::serializer<kIsRequest, bhttp::buffer_body>& serializer,
    bhttp::message<kIsRequest, bhttp::buffer_body>& sink, transfer_pacing pacing,
    std::uint64_t& transferred_bytes) {
  if (!parser.is_done() && from.buffer.size() == 0 && !serializer.is_header_done()) {
    sink.body().data = nullptr;
    sink.body().more = true;
    serializer.split(true);
    to.stream.expires_after(pacing.progress_timeout);
    auto [failed, count] = co_await bhttp::async_write_header(to.stream, serializer, kAwait);
    if (failed) {
      to.write_failed = true;
      co_return transfer_outcome::kWriteFailed;
    }
  }
  co_return co_await TransferBlocks<kIsRequest>(from, parser, to, serializer, sink, pacing,
                                                transferred_bytes);
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

void RemoveMeshHeaders(bhttp::fields& fields) {
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
  parser.header_limit(static_cast<std::uint32_t>(settings.max_header_bytes));
  parser.body_limit(static_cast<std::uint64_t>(settings.max_body_bytes));
  // The wait for the first byte may take the idle timeout; from then on, the header timeout
  // applies.
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
    local_response timed_out = MalformedRequestResponse(failed);
    timed_out.status = 408;
    timed_out.reason = "slow-header";
    co_return read_result{read_outcome::kMalformed, std::move(timed_out)};
  }
  if (!IsMalformed(failed)) co_return read_result{};
  co_return read_result{read_outcome::kMalformed, MalformedRequestResponse(failed)};
}

asio::awaitable<bool> SendLocalResponse(connection& to, const local_response& response,
                                        bool keep_alive, bool is_head, milliseconds timeout,
                                        bool fractional_retry_after) {
  const boost::json::object failure{{"kind", ErrorKindName(response.failure.kind)},
                                    {"step", response.failure.step},
                                    {"peer", response.failure.peer},
                                    {"message", response.failure.message}};
  bhttp::response<bhttp::string_body> message(static_cast<bhttp::status>(response.status), 11);
  message.set(bhttp::field::content_type, "application/json");
  message.set(kOutcomeHeader, response.outcome);
  if (!response.reason.empty()) message.set(kReasonHeader, response.reason);
  if (!response.load.empty()) {
    message.set(kLoadHeader, response.load);
    message.set(kRetryAfterHeader, std::to_string(response.retry_after.count()));
  }
  if (response.status == 401) message.set(bhttp::field::www_authenticate, "Bearer");
  if (response.status == 503 || response.status == 429) {
    message.set(bhttp::field::retry_after,
                FormatRetryAfter(response.retry_after, fractional_retry_after));
  }
  message.body() = boost::json::serialize(
                       boost::json::object{{"outcome", response.outcome}, {"error", failure}}) +
                   "\n";
  message.keep_alive(keep_alive);
  message.prepare_payload();
  if (is_head) message.body().clear();
  to.stream.expires_after(timeout);
  auto [failed, count] = co_await bhttp::async_write(to.stream, message, kAwait);
  co_return !failed && keep_alive;
}

asio::awaitable<transfer_outcome> TransferRequest(connection& from, request_parser& parser,
                                                  connection& to, milliseconds progress_timeout,
                                                  std::uint64_t& transferred_bytes) {
  bhttp::request_serializer<bhttp::buffer_body> serializer(parser.get());
  const transfer_pacing pacing{progress_timeout};
  co_return co_await TransferMessage<true>(from, parser, to, serializer, parser.get(), pacing,
                                           transferred_bytes);
}

asio::awaitable<transfer_outcome> TransferResponse(connection& from, response_parser& parser,
                                                   connection& to, response_writer& writer,
                                                   milliseconds progress_timeout) {
  const transfer_pacing pacing{progress_timeout, writer.pacer};
  co_return co_await TransferMessage<false>(from, parser, to, writer.serializer, writer.message,
                                            pacing, writer.body_bytes);
}

asio::awaitable<transfer_outcome> TransferBody(connection& from, request_parser& parser,
                                               connection& to, const std::string& prefix,
                                               milliseconds progress_timeout,
                                               std::uint64_t& transferred_bytes) {
  bhttp::request_serializer<bhttp::buffer_body> serializer(parser.get());
  serializer.split(true);
  parser.get().body().data = nullptr;
  parser.get().body().more = true;
  // Advance the serializer past the header without sending the header a second time.
  beast::error_code failed;
  while (!serializer.is_header_done()) {
    serializer.next(failed, [&](beast::error_code&, const auto& buffers) {
      serializer.consume(beast::buffer_bytes(buffers));
    });
    if (failed) co_return transfer_outcome::kWriteFailed;
  }
  if (!prefix.empty()) {
    std::string block = prefix;
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    to.stream.expires_after(progress_timeout);
    auto [write_failed, count] = co_await bhttp::async_write(to.stream, serializer, kAwait);
    const bool can_continue = !write_failed || write_failed == bhttp::error::need_buffer;
    if (!can_continue) {
      to.write_failed = true;
      co_return transfer_outcome::kWriteFailed;
    }
  }
  const transfer_pacing pacing{progress_timeout};
  co_return co_await TransferBlocks<true>(from, parser, to, serializer, parser.get(), pacing,
                                          transferred_bytes);
}

template <bool kIsRequest>
asio::awaitable<body_outcome> ReadRemainingBody(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, std::size_t max_bytes,
    std::string& body, milliseconds progress_timeout) {
  while (!parser.is_done()) {
    const std::size_t used = body.size();
    if (used > max_bytes) co_return body_outcome::kTooLong;
    const std::size_t room = std::min(max_bytes + 1 - used, kBlockBytes / 4);
    body.resize(used + room);
    parser.get().body().data = body.data() + used;
    parser.get().body().size = room;
    from.stream.expires_after(progress_timeout);
    auto [failed, count] =
        co_await bhttp::async_read_some(from.stream, from.buffer, parser, kAwait);
    body.resize(used + room - parser.get().body().size);
    if (failed && failed != bhttp::error::need_buffer) {
      co_return IsMalformed(failed) ? body_outcome::kMalformed : body_outcome::kDisconnected;
    }
  }
  co_return body.size() <= max_bytes ? body_outcome::kComplete : body_outcome::kTooLong;
}

template asio::awaitable<body_outcome> ReadRemainingBody<true>(connection&, request_parser&,
                                                               std::size_t, std::string&,
                                                               milliseconds);
template asio::awaitable<body_outcome> ReadRemainingBody<false>(connection&, response_parser&,
                                                                std::size_t, std::string&,
                                                                milliseconds);

asio::awaitable<bool> DiscardBody(connection& from, request_parser& parser,
                                  milliseconds progress_timeout) {
  std::string discarded;
  const body_outcome outcome =
      co_await ReadRemainingBody(from, parser, kMaxDiscardedBytes, discarded, progress_timeout);
  co_return outcome == body_outcome::kComplete;
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

bool IsClosed(connection& open) { return Peek(open) == socket_state::kClosed; }

bool HasUnreadBytes(connection& open) { return Peek(open) == socket_state::kDataPending; }

bool IsStale(connection& idle) {
  return Peek(idle) != socket_state::kNoData || idle.buffer.size() != 0;
}

disconnect_watch::disconnect_watch(connection& watched, std::function<void()> on_disconnect)
    : watched_(watched), active_(std::make_shared<bool>(true)) {
  watched_.stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [this, active = active_,
       on_disconnect = std::move(on_disconnect)](const beast::error_code& failed) {
        if (!*active || failed) return;
        if (IsClosed(watched_)) on_disconnect();
      });
}

disconnect_watch::~disconnect_watch() {
  *active_ = false;
  beast::error_code ignored;
  watched_.stream.socket().cancel(ignored);
}

namespace {

/// Has the kernel detect a peer that has died or become unreachable.
void EnableDeadPeerDetection(asio::ip::tcp::socket& socket) {
  const auto set = [&](int level, int name, int value) {
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
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
    const bool timed_out = failed == beast::error::timeout;
    co_return error{timed_out ? error_kind::kTimeout : error_kind::kUnavailable, "connect",
                    ToString(peer), failed.message()};
  }
  beast::error_code ignored;
  opened->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(opened->stream.socket());
  co_return std::move(opened);
}

milliseconds PeerIdleTimeout(const bhttp::fields& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto text = response[bhttp::field::keep_alive];
  const std::string_view value(text.data(), text.size());
  const auto found = value.find(kTimeout);
  if (found == std::string_view::npos) return kDefaultPeerIdleTimeout;
  std::string_view digits = value.substr(found + kTimeout.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseInteger(digits);
  if (!seconds) return kDefaultPeerIdleTimeout;
  return std::max(milliseconds(0), milliseconds(*seconds * 1000) - kPeerIdleMargin);
}

connection_ptr connection_pool::TakeIdle(const endpoint& peer, milliseconds max_age) {
  const auto found = idle_.find(peer);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  const time_point now = Now();
  while (!connections.empty()) {
    idle_connection last = std::move(connections.back());
    connections.pop_back();
    const milliseconds max_idle =
        std::min({max_age, last.idle_timeout, settings_.idle_timeout / 2});
    if (now - last.idle_since < max_idle && !IsStale(*last.pooled)) return std::move(last.pooled);
  }
  return nullptr;
}

void connection_pool::Return(const endpoint& peer, connection_ptr idle, milliseconds idle_timeout) {
  auto& connections = idle_[peer];
  if (static_cast<std::int64_t>(connections.size()) >= limit_) return;
  idle->stream.expires_never();
  connections.push_back({std::move(idle), Now(), idle_timeout});
}

result<std::unique_ptr<asio::ip::tcp::acceptor>> Bind(asio::io_context& context,
                                                      const endpoint& local_endpoint) {
  beast::error_code failed;
  const auto address = asio::ip::make_address(local_endpoint.address, failed);
  auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(context);
  if (!failed) acceptor->open(asio::ip::tcp::v4(), failed);
  if (!failed) acceptor->set_option(asio::socket_base::reuse_address(true), failed);
  if (!failed) acceptor->bind({address, local_endpoint.port}, failed);
  if (!failed) acceptor->listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return error{error_kind::kUnavailable, "listen", ToString(local_endpoint), failed.message()};
  }
  return acceptor;
}

}  // namespace catkinmoor::proxy_internal
