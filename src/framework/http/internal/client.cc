#include "framework/http/client.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/base/sharded_map.h"
#include "framework/http/internal/limits.h"
#include "framework/http/response_reader.h"

namespace catkinmoor::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdlePerPeer = 4;
constexpr std::size_t kMaxResponseHeadBytes = 8U << 10U;
/// Share of a process's memory that the bodies of responses may take up while they are read. What
/// is made of a body, a configuration above all, takes many times its size.
constexpr std::uint64_t kMemoryDivisor = 32;
/// Bytes of a body that are read at a time, and the room that is made for them.
constexpr std::size_t kBodyReadBytes = 8U << 10U;
constexpr std::size_t kBodyStepBytes = 16U << 10U;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Whether an idle connection is still open and has no unsolicited bytes to read.
bool IsReusable(beast::tcp_stream& idle) {
  char byte = 0;
  const auto count = ::recv(idle.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// How far one attempt got.
enum class progress { kNotSent, kSent, kResponseReceived };

struct attempt {
  progress reached = progress::kNotSent;
  bool timed_out = false;
  std::string message;
  response response_message;
  bool keep_alive = false;
  std::uint64_t bytes = 0;
};

/// The bytes that the bodies being read hold together.
class body_budget {
 public:
  explicit body_budget(std::uint64_t limit) : limit_(limit) {}

  bool TryTake(std::uint64_t bytes) {
    if (held_.fetch_add(bytes) + bytes <= limit_) return true;
    held_ -= bytes;
    return false;
  }
  void Return(std::uint64_t bytes) { held_ -= bytes; }

 private:
  const std::uint64_t limit_;
  std::atomic<std::uint64_t> held_ = 0;
};

/// What one body holds of the budget during its lifetime. Its first bytes are not charged, so that
/// short responses arrive while long ones use up the budget.
class body_share {
 public:
  explicit body_share(body_budget& budget) : budget_(budget) {}
  ~body_share() { budget_.Return(held_); }
  body_share(const body_share&) = delete;
  body_share& operator=(const body_share&) = delete;

  bool TryGrowTo(std::uint64_t bytes) {
    if (bytes <= kBodyStepBytes + held_) return true;
    const std::uint64_t charged = bytes - kBodyStepBytes;
    if (!budget_.TryTake(charged - held_)) return false;
    held_ = charged;
    return true;
  }

 private:
  body_budget& budget_;
  std::uint64_t held_ = 0;
};

/// Makes room for the next bytes of a body, if the budget has as much. What is drawn grows with the
/// bytes that have arrived, not with the length that a head states.
bool MakeRoom(bhttp::response_parser<bhttp::string_body>& parser, body_share& share) {
  std::string& body = parser.get().body();
  const auto left = parser.content_length_remaining();
  const std::size_t step =
      left ? static_cast<std::size_t>(std::min<std::uint64_t>(*left, kBodyStepBytes))
           : kBodyStepBytes;
  const std::size_t needed = body.size() + step;
  if (needed <= body.capacity()) return share.TryGrowTo(needed);
  const std::size_t capacity = std::max(needed, body.size() + body.size() / 4);
  // Both are held while the bytes are copied.
  if (!share.TryGrowTo(capacity + body.size())) return false;
  // std::string::reserve at least doubles the capacity of a string that has one.
  std::string enlarged;
  enlarged.reserve(capacity);
  enlarged.append(body);
  body.swap(enlarged);
  return true;
}

/// Reads the rest of a response whose head has been parsed.
asio::awaitable<beast::error_code> ReadBody(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                            bhttp::response_parser<bhttp::string_body>& parser,
                                            body_budget& budget, std::uint64_t& bytes) {
  body_share share(budget);
  parser.eager(true);
  while (!parser.is_done()) {
    beast::error_code failed = bhttp::error::need_more;
    if (!MakeRoom(parser, share)) co_return bhttp::error::body_limit;
    if (buffer.size() > 0) {
      failed = {};
      buffer.consume(parser.put(buffer.data(), failed));
      if (failed && failed != bhttp::error::need_more) co_return failed;
    }
    if (parser.is_done() || !failed) continue;
    const std::size_t room = std::min(kBodyReadBytes, buffer.max_size() - buffer.size());
    if (room == 0) co_return bhttp::error::buffer_overflow;
    auto [read_failed, count] = co_await stream.async_read_some(buffer.prepare(room), kAwait);
    bytes += count;
    buffer.commit(count);
    if (read_failed && read_failed != asio::error::eof) co_return read_failed;
    if (!read_failed) continue;
    failed = {};
    parser.put_eof(failed);
    co_return failed;
  }
  co_return beast::error_code{};
}

bhttp::request<bhttp::string_body> ToBeastRequest(const endpoint& peer, const request& from) {
  bhttp::request<bhttp::string_body> to;
  to.method_string(from.method);
  to.target(from.target);
  to.version(11);
  to.set(bhttp::field::host, ToString(peer));
  for (const auto& [name, value] : from.headers) to.set(name, value);
  to.body() = from.body;
  to.prepare_payload();
  return to;
}

asio::awaitable<attempt> SendOnce(beast::tcp_stream& stream, const endpoint& peer,
                                  const request& message, std::uint64_t max_body_bytes,
                                  body_budget& budget) {
  attempt outcome;
  auto outgoing = ToBeastRequest(peer, message);
  auto [write_failed, written] = co_await bhttp::async_write(stream, outgoing, kAwait);
  outcome.bytes += written;
  outcome.reached = written > 0 ? progress::kSent : progress::kNotSent;
  if (write_failed) {
    outcome.timed_out = write_failed == beast::error::timeout;
    outcome.message = "write: " + write_failed.message();
    co_return outcome;
  }
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  std::optional<bhttp::response_parser<bhttp::string_body>> parser;
  for (int interim = 0;; ++interim) {
    parser.emplace();
    parser->body_limit(max_body_bytes);
    if (message.method == "HEAD") parser->skip(true);
    const head_result head =
        co_await ReadResponseHead(stream, buffer, *parser, kMaxResponseHeadBytes);
    outcome.bytes += head.bytes;
    if (head.failed) {
      outcome.timed_out = head.failed == beast::error::timeout;
      outcome.message = "read: " + head.Message();
      co_return outcome;
    }
    if (parser->get().result_int() >= 200) break;
    if (interim < kMaxInterimResponses) continue;
    outcome.message = "read: too many interim responses";
    co_return outcome;
  }
  // Before the body is read, as the parser adds the fields of a trailer to those of the head.
  for (const auto& each : parser->get()) {
    outcome.response_message.headers.emplace(std::string(each.name_string()),
                                             std::string(each.value()));
  }
  const beast::error_code read_failed =
      co_await ReadBody(stream, buffer, *parser, budget, outcome.bytes);
  if (read_failed) {
    outcome.timed_out = read_failed == beast::error::timeout;
    outcome.message = "read: " + read_failed.message();
    co_return outcome;
  }
  if (parser->need_eof() && HowEnded(stream.socket().native_handle()) == connection_end::kReset) {
    outcome.message = "read: the connection that ends the response was reset";
    co_return outcome;
  }
  outcome.reached = progress::kResponseReceived;
  outcome.response_message.status = parser->get().result_int();
  // Bytes behind the response belong to no request of this client.
  outcome.keep_alive = parser->keep_alive() && buffer.size() == 0;
  outcome.response_message.body = std::move(parser->get().body());
  co_return outcome;
}

}  // namespace

struct client::state {
  state(address_translation rules, client_limits body_limits)
      : translation(std::move(rules)), limits(body_limits) {}

  sharded_map<std::string, std::vector<stream_ptr>> idle;
  std::atomic<std::uint64_t> bytes_transferred = 0;
  address_translation translation;
  client_limits limits;
  body_budget budget{limits.total_bytes};

  stream_ptr TakeIdle(const std::string& peer) {
    return idle.WithShard(peer, [&](auto& entries) -> stream_ptr {
      auto found = entries.find(peer);
      if (found == entries.end()) return nullptr;
      while (!found->second.empty()) {
        stream_ptr candidate = std::move(found->second.back());
        found->second.pop_back();
        if (IsReusable(*candidate)) return candidate;
      }
      return nullptr;
    });
  }

  void CloseIdle(const std::string& peer) {
    idle.WithShard(peer, [&](auto& entries) { return entries.erase(peer); });
  }

  void PutIdle(const std::string& peer, stream_ptr stream) {
    stream->expires_never();
    idle.WithShard(peer, [&](auto& entries) {
      auto& streams = entries[peer];
      if (streams.size() < kMaxIdlePerPeer) streams.push_back(std::move(stream));
      return 0;
    });
  }
};

client_limits ClientLimitsOfProcess(std::int64_t memory_mb) {
  client_limits limits;
  if (memory_mb <= 0) return limits;
  limits.total_bytes = (static_cast<std::uint64_t>(memory_mb) << 20U) / kMemoryDivisor;
  limits.body_bytes = std::min(limits.body_bytes, limits.total_bytes);
  return limits;
}

client::client(address_translation translation, client_limits limits)
    : state_(std::make_shared<state>(std::move(translation), limits)) {}
client::~client() = default;

std::uint64_t client::BytesTransferred() const { return state_->bytes_transferred; }

asio::awaitable<result<response>> client::Send(endpoint peer, request message,
                                               milliseconds timeout) {
  const auto shared = state_;
  const std::string peer_name = ToString(peer);
  const std::string step = message.method + " " + std::string(message.Path());
  const bool idempotent =
      message.method == "GET" || message.method == "HEAD" || message.method == "PUT";
  for (bool is_retry = false;; is_retry = true) {
    stream_ptr stream = is_retry ? nullptr : shared->TakeIdle(peer_name);
    const bool reused = stream != nullptr;
    if (!reused) {
      stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    }
    stream->expires_after(timeout);
    if (!reused) {
      beast::error_code bad_address;
      const endpoint translated = shared->translation.Translate(peer);
      const auto address = asio::ip::make_address(translated.address, bad_address);
      if (bad_address) {
        co_return error{error_kind::kInvalid, step, peer_name, "not an IP address"};
      }
      auto [failed] = co_await stream->async_connect({address, translated.port}, kAwait);
      if (failed) {
        co_return error{error_kind::kUnavailable, step, peer_name, "connect: " + failed.message()};
      }
      beast::error_code ignored;
      stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    attempt outcome =
        co_await SendOnce(*stream, peer, message, shared->limits.body_bytes, shared->budget);
    shared->bytes_transferred += outcome.bytes;
    if (outcome.reached == progress::kResponseReceived) {
      if (outcome.keep_alive) shared->PutIdle(peer_name, std::move(stream));
      co_return std::move(outcome.response_message);
    }
    // The other idle connections may have gone silent together with this one.
    if (reused && outcome.timed_out) shared->CloseIdle(peer_name);
    if (reused && idempotent && !outcome.timed_out) continue;
    error_kind kind = error_kind::kUnavailable;
    if (outcome.timed_out) kind = error_kind::kTimeout;
    if (outcome.reached == progress::kSent && !idempotent) kind = error_kind::kUndecided;
    co_return error{kind, step, peer_name, outcome.message};
  }
}

result<response> SendBlocking(const endpoint& peer, const request& message, milliseconds timeout) {
  asio::io_context context;
  client http_client;
  result<response> outcome =
      error{error_kind::kInternal, "send", ToString(peer), "the request did not run"};
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        outcome = co_await http_client.Send(peer, message, timeout);
      },
      asio::detached);
  context.run();
  return outcome;
}

}  // namespace catkinmoor::http
