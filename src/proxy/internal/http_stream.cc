#include "proxy/internal/http_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "framework/http/response_head.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/wire/head_size.h"
#include "proxy/internal/wire/message_fields.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr std::size_t kHeaderReadBytes = 4U << 10U;
constexpr std::size_t kMaxDiscardedBytes = 256U << 10U;
// A body that is buffered grows by this much, so that it costs little more than its bytes; the
// length that its header states is not allocated before the bytes arrive.
constexpr std::size_t kStepBytes = 16U << 10U;
// Block of a streamed body while the budget has no room for a larger one. With it, a connection
// still counts as small and may use the reserve.
constexpr std::size_t kSmallBlockBytes = 4U << 10U;
// A buffered body is parsed into this much memory at a time. It is cleared for each chunk, so it is
// small.
constexpr std::size_t kParseBytes = 4U << 10U;
// Bounds the parts of a body that have no limit of their own: chunk extensions and trailers.
constexpr std::size_t kMaxFramingBytes = 16U << 10U;
// A connection that is turned away gets its response at once or not at all.
constexpr milliseconds kTurnAwayTimeout{500};

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

/// Bytes allocated for a read that waits for data. Most request heads fit.
constexpr std::size_t kWaitingReadBytes = 2U << 10U;

std::size_t AvailableBytes(connection& from) {
  beast::error_code failed;
  const std::size_t available = from.stream.socket().available(failed);
  return failed ? 0 : available;
}

/// Reads into a connection's buffer what has arrived, up to a size. A read that has to wait holds
/// only a small buffer; a larger one is allocated when the data is there and the budget has room
/// for it.
asio::awaitable<beast::error_code> FillBuffer(connection& from, std::size_t max_bytes,
                                              milliseconds timeout) {
  std::size_t available = AvailableBytes(from);
  if (from.buffer.size() == 0 && available == 0 && from.buffer.capacity() > kWaitingReadBytes) {
    from.buffer.shrink_to_fit();
    if (from.account != nullptr) from.account->ReleaseBuffer();
  }
  std::size_t count = 0;
  beast::error_code failed;
  do {
    const bool waits = available == 0;
    const std::size_t wanted = std::max(std::min(available, max_bytes), kWaitingReadBytes);
    const std::size_t room = std::min(wanted, from.buffer.max_size() - from.buffer.size());
    if (room == 0) co_return bhttp::error::buffer_overflow;
    if (from.account != nullptr) {
      // The buffer at least doubles when it grows, and both are held while it is copied.
      const bool grows = from.buffer.size() + room > from.buffer.capacity();
      const std::size_t held = grows ? 2 * from.buffer.size() + room : from.buffer.capacity();
      // The smallest buffer is part of what each connection is charged.
      const bool drawn = co_await from.account->HoldBuffer(held > kWaitingReadBytes ? held : 0);
      if (!drawn) co_return asio::error::operation_aborted;
    }
    from.stream.expires_after(timeout);
    auto [read_failed, read] =
        co_await from.stream.async_read_some(from.buffer.prepare(room), kAwait);
    failed = read_failed;
    count = read;
    from.buffer.commit(count);
    if (from.account != nullptr && count > 0) from.account->RecordProgress(count);
    // Data that arrived together with the end of the wait is read in the same step.
    const bool read_in_part = waits && !failed && count == room && max_bytes > room;
    available = read_in_part ? AvailableBytes(from) : 0;
  } while (available > 0);
  co_return failed;
}

/// Reads and parses until a header is complete, some of a body has been parsed, or the parser
/// fails. The prepare callback is run before each parsing step and provides the memory for the
/// body.
template <bool kIsRequest, typename Prepare>
asio::awaitable<beast::error_code> ParseSome(connection& from,
                                             bhttp::parser<kIsRequest, bhttp::buffer_body>& parser,
                                             milliseconds timeout, std::size_t max_read_bytes,
                                             Prepare& prepare) {
  for (;;) {
    beast::error_code failed;
    if (from.buffer.size() > 0) {
      const bool prepared = co_await prepare(from.buffer.size());
      if (!prepared) co_return asio::error::operation_aborted;
      from.buffer.consume(ParseBytes(parser, from.buffer.data(), failed));
      if (failed != bhttp::error::need_more) co_return failed;
    }
    std::size_t read_bytes = max_read_bytes;
    if (parser.is_header_done() && from.buffer.size() > kWaitingReadBytes) {
      if (from.buffer.size() > kMaxFramingBytes) co_return bhttp::error::buffer_overflow;
      read_bytes = kWaitingReadBytes;
    }
    failed = co_await FillBuffer(from, read_bytes, timeout);
    if (failed == asio::error::eof) {
      failed = {};
      if (!parser.got_some()) co_return bhttp::error::end_of_stream;
      parser.put_eof(failed);
      co_return failed;
    }
    if (failed) co_return failed;
  }
}

std::string_view Unparsed(const connection& from) {
  const auto held = from.buffer.cdata();
  return {static_cast<const char*>(held.data()), held.size()};
}

bool IsTurnedAway(const connection& from) {
  return from.account != nullptr && from.account->IsTurnedAway();
}

void SetPhase(connection& from, holder_phase phase) {
  if (from.account != nullptr) from.account->SetPhase(phase);
}

/// Copies a body block by block from the parser's stream to the serializer's until both are done.
/// The sink is the message that the serializer writes; it may differ from the parser's.
template <bool kIsRequest>
asio::awaitable<transfer_outcome> TransferBlocks(
    connection& from, bhttp::parser<kIsRequest, bhttp::buffer_body>& parser, connection& to,
    bhttp::serializer<kIsRequest, bhttp::buffer_body>& serializer,
    bhttp::message<kIsRequest, bhttp::buffer_body>& sink, transfer_pacing pacing,
    std::uint64_t& transferred_bytes) {
  // Blocks and unparsed bytes are charged to the accepted connection of the two.
  budget_account* const account = from.account ? from.account.get() : to.account.get();
  const bool is_upload = from.account != nullptr;
  if (is_upload) account->SetPhase(holder_phase::kTransferring);
  std::vector<char> block;
  // Reads grow with the blocks that the budget has room for.
  std::size_t max_read_bytes = kStepBytes;
  const auto prepare = [&](std::size_t unparsed) -> asio::awaitable<bool> {
    std::size_t wanted = std::min(std::max(unparsed, kWaitingReadBytes), pacing.MaxBlockBytes());
    if (block.size() < wanted && account != nullptr) {
      // A connection without an account has as many unparsed bytes as a block, or fewer.
      const std::size_t copies = from.account == nullptr ? 2 : 1;
      if (!account->TryHoldBlock(copies * wanted)) {
        wanted = std::min(wanted, kSmallBlockBytes);
        const bool drawn = co_await account->HoldBlock(copies * wanted);
        if (!drawn) co_return false;
      }
    }
    if (block.size() < wanted) {
      block = std::vector<char>();
      block.resize(wanted);
    }
    max_read_bytes = wanted > kSmallBlockBytes || account == nullptr ? 2 * wanted : wanted;
    max_read_bytes = std::min(std::max(max_read_bytes, kSmallBlockBytes), pacing.MaxBlockBytes());
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    co_return true;
  };
  do {
    std::size_t size = 0;
    bool more = false;
    if (!parser.is_done()) {
      if (from.buffer.size() == 0 && AvailableBytes(from) == 0) {
        // The wait for data may be long, so it holds no block.
        block = std::vector<char>();
        if (account != nullptr) account->ReleaseBlock();
      }
      parser.get().body().data = nullptr;
      parser.get().body().size = 0;
      const beast::error_code failed = co_await ParseSome<kIsRequest>(
          from, parser, pacing.progress_timeout, max_read_bytes, prepare);
      if (failed && failed != bhttp::error::need_buffer) co_return transfer_outcome::kReadFailed;
      const bool parsed_into_block = parser.get().body().data != nullptr;
      size = parsed_into_block ? block.size() - parser.get().body().size : 0;
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
    // The caller of a response makes progress by reading it; the wait for its source does not
    // count.
    if (!is_upload) SetPhase(to, holder_phase::kTransferring);
    to.stream.expires_after(pacing.progress_timeout);
    auto [failed, count] = co_await bhttp::async_write(to.stream, serializer, kAwait);
    if (failed && failed != bhttp::error::need_buffer) {
      to.write_failed = true;
      co_return transfer_outcome::kWriteFailed;
    }
    if (!is_upload) SetPhase(to, holder_phase::kServing);
    transferred_bytes += size;
  } while (!parser.is_done() || !serializer.is_done());
  if (from.buffer.size() == 0) from.buffer.shrink_to_fit();
  if (account != nullptr) {
    account->ReleaseBlock();
    account->SetPhase(holder_phase::kServing);
  }
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

void OpenAccount(connection& accepted, const std::shared_ptr<connection_budget>& budget,
                 holder_kind kind) {
  if (budget == nullptr || !budget->Enabled()) return;
  accepted.account = std::make_unique<budget_account>(budget, kind, accepted.stream.get_executor(),
                                                      [&accepted] { accepted.stream.cancel(); });
}

local_response TurnedAwayResponse() {
  local_response response;
  response.reason = "no-memory";
  response.failure = {error_kind::kRefused, "read request", "",
                      "the daemon's memory for callers is used up"};
  return response;
}

asio::awaitable<read_result> ReadRequestHeader(connection& from, request_parser& parser,
                                               const proxy_settings& settings,
                                               std::int64_t max_header_bytes, bool behind_others) {
  parser.header_limit(static_cast<std::uint32_t>(max_header_bytes));
  parser.body_limit(static_cast<std::uint64_t>(settings.max_body_bytes));
  if (!behind_others) SetPhase(from, holder_phase::kIdle);
  // The wait for the first byte may take the idle timeout; from then on, the header timeout
  // applies.
  if (from.buffer.size() == 0) {
    from.buffer.shrink_to_fit();
    const beast::error_code idle_failed =
        co_await FillBuffer(from, kWaitingReadBytes, settings.idle_timeout);
    if (idle_failed) co_return read_result{};
  }
  if (!behind_others) SetPhase(from, holder_phase::kReading);
  if (from.account != nullptr) {
    const bool drawn = co_await from.account->HoldBuffer(from.buffer.capacity());
    if (!drawn) co_return read_result{read_outcome::kMalformed, TurnedAwayResponse()};
  }
  const time_point header_deadline = Now() + settings.header_timeout;
  beast::error_code failed = bhttp::error::need_more;
  head_size parsed;
  while (!failed || failed == bhttp::error::need_more) {
    if (from.buffer.size() > 0) {
      head_size received = parsed;
      received += MeasureHead(Unparsed(from));
      if (from.account != nullptr) {
        const bool drawn = co_await from.account->HoldRequest(RequestBytes(received));
        if (!drawn) break;
      }
      failed = {};
      const std::size_t count = parser.put(from.buffer.cdata(), failed);
      parsed += MeasureHead(Unparsed(from).substr(0, count));
      from.buffer.consume(count);
      if (!failed || failed != bhttp::error::need_more) break;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(header_deadline - Now());
    failed = co_await FillBuffer(from, kHeaderReadBytes, std::max(left, milliseconds(0)));
  }
  if (!failed) {
    SetPhase(from, holder_phase::kServing);
    co_return read_result{read_outcome::kRequest, {}, RequestBytes(parsed)};
  }
  if (IsTurnedAway(from)) co_return read_result{read_outcome::kMalformed, TurnedAwayResponse()};
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
  to.stream.expires_after(IsTurnedAway(to) ? std::min(timeout, kTurnAwayTimeout) : timeout);
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
    // The serializer only reads from the body.
    parser.get().body().data = const_cast<char*>(prefix.data());
    parser.get().body().size = prefix.size();
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

namespace {

/// Enlarges a body's memory to hold at least this many bytes, and no more than a step beyond.
void ReserveExactly(std::string& body, std::size_t bytes) {
  if (body.capacity() >= bytes) return;
  // std::string::reserve at least doubles the capacity of a string that has one.
  std::string enlarged;
  enlarged.reserve(bytes);
  enlarged.append(body);
  body.swap(enlarged);
}

}  // namespace

asio::awaitable<body_outcome> ReadRemainingBody(connection& from, request_parser& parser,
                                                std::size_t max_bytes, std::string& body,
                                                milliseconds progress_timeout) {
  SetPhase(from, holder_phase::kReading);
  std::size_t used = body.size();
  const auto prepare = [&](std::size_t unparsed) -> asio::awaitable<bool> {
    const std::size_t room = std::min({unparsed, kParseBytes, max_bytes + 1 - used});
    if (used + room > body.capacity()) {
      std::size_t limit = max_bytes + 1;
      const auto left = parser.content_length_remaining();
      if (left && *left < limit - used) limit = used + static_cast<std::size_t>(*left);
      // Large bodies grow by a quarter, so that copying them stays cheap.
      const std::size_t step = std::max(kStepBytes, used / 4);
      const std::size_t bytes = std::max(used + room, std::min(limit, used + step));
      if (from.account != nullptr) {
        const bool drawn = co_await from.account->HoldBody(bytes);
        if (!drawn) co_return false;
      }
      ReserveExactly(body, bytes);
    }
    body.resize(used + room);
    parser.get().body().data = body.data() + used;
    parser.get().body().size = room;
    co_return true;
  };
  while (!parser.is_done()) {
    used = body.size();
    if (used > max_bytes) break;
    parser.get().body().data = nullptr;
    parser.get().body().size = 0;
    const beast::error_code failed =
        co_await ParseSome<true>(from, parser, progress_timeout, kStepBytes, prepare);
    if (parser.get().body().data != nullptr) body.resize(body.size() - parser.get().body().size);
    if (IsTurnedAway(from) && !parser.is_done()) {
      body = std::string();
      from.buffer.clear();
      from.buffer.shrink_to_fit();
      from.account->ReleaseBuffer();
      from.account->ReleaseBody();
      co_return body_outcome::kTurnedAway;
    }
    if (failed && failed != bhttp::error::need_buffer) {
      co_return IsMalformed(failed) ? body_outcome::kMalformed : body_outcome::kDisconnected;
    }
  }
  SetPhase(from, holder_phase::kServing);
  co_return body.size() <= max_bytes ? body_outcome::kComplete : body_outcome::kTooLong;
}

template <bool kIsRequest>
asio::awaitable<bool> DiscardBody(connection& from,
                                  bhttp::parser<kIsRequest, bhttp::buffer_body>& parser,
                                  milliseconds progress_timeout, time_point deadline) {
  if (parser.is_done()) co_return true;
  SetPhase(from, holder_phase::kReading);
  std::vector<char> block(kWaitingReadBytes);
  std::size_t discarded = 0;
  const auto prepare = [&](std::size_t) -> asio::awaitable<bool> {
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    co_return true;
  };
  while (!parser.is_done()) {
    const time_point now = Now();
    if (IsTurnedAway(from) || discarded > kMaxDiscardedBytes || now >= deadline) co_return false;
    const auto left = std::chrono::ceil<milliseconds>(deadline - now);
    parser.get().body().data = nullptr;
    parser.get().body().size = 0;
    const beast::error_code failed = co_await ParseSome<kIsRequest>(
        from, parser, std::min(progress_timeout, left), kStepBytes, prepare);
    if (failed && failed != bhttp::error::need_buffer) co_return false;
    if (parser.get().body().data != nullptr) discarded += block.size() - parser.get().body().size;
  }
  SetPhase(from, holder_phase::kServing);
  co_return discarded <= kMaxDiscardedBytes;
}

template asio::awaitable<bool> DiscardBody<true>(connection&, request_parser&, milliseconds,
                                                 time_point);
template asio::awaitable<bool> DiscardBody<false>(connection&, response_parser&, milliseconds,
                                                  time_point);

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
  // Bytes behind a response belong to no request.
  if (idle->buffer.size() > 0) return;
  auto& connections = idle_[peer];
  if (static_cast<std::int64_t>(connections.size()) >= limit_) return;
  idle->stream.expires_never();
  idle->buffer.shrink_to_fit();
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
