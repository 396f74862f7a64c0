#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/pacing/link_pacer.h"
#include "proxy/internal/budget_account.h"
#include "proxy/proxy_settings.h"

namespace catkinmoor::proxy_internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

inline constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);

using request_parser = bhttp::request_parser<bhttp::buffer_body>;
using response_parser = bhttp::response_parser<bhttp::buffer_body>;
using request_message = bhttp::request<bhttp::buffer_body>;
using response_message = bhttp::response<bhttp::buffer_body>;

/// Maximum bytes read from a connection but not parsed yet.
inline constexpr std::size_t kMaxUnparsedBytes = 256U << 10U;

/// A TCP connection and the bytes read from it but not parsed yet.
struct connection {
  explicit connection(beast::tcp_stream opened) : stream(std::move(opened)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  /// Whether writing has failed. The error may have been that of a reset, which later reads then do
  /// not return any more.
  bool write_failed = false;
  /// What the connection holds of the daemon's budget; null for connections that this daemon opened
  /// and if there are no limits.
  std::unique_ptr<budget_account> account;
};

using connection_ptr = std::unique_ptr<connection>;

/// Makes an accepted connection draw what it holds from the budget.
void OpenAccount(connection& accepted, const std::shared_ptr<connection_budget>& budget,
                 holder_kind kind);

/// A response that this daemon generates itself.
struct local_response {
  unsigned status = 503;
  const char* outcome = "not-run";
  std::string reason;
  error failure;
  /// Time after which a request that was not run is worth retrying.
  milliseconds retry_after{1'000};
  /// Load report of a gate; sent to the entry only.
  std::string load;
};

/// Reads a request's header of at most max_header_bytes into the parser. For a malformed or late
/// header, the result holds the response to send; kDisconnected means that the peer closed the
/// connection or stayed idle.
enum class read_outcome { kRequest, kMalformed, kDisconnected };
struct read_result {
  read_outcome outcome = read_outcome::kDisconnected;
  local_response response;
  /// What the request is charged by its head.
  std::size_t request_bytes = 0;
};
asio::awaitable<read_result> ReadRequestHeader(connection& from, request_parser& parser,
                                               const proxy_settings& settings,
                                               std::int64_t max_header_bytes,
                                               bool behind_others = false);

/// Sends a response that this daemon generated. Returns false if the connection cannot be reused.
asio::awaitable<bool> SendLocalResponse(connection& to, const local_response& response,
                                        bool keep_alive, bool is_head, milliseconds timeout,
                                        bool fractional_retry_after = false);

/// How the transfer of a message ended.
enum class transfer_outcome { kComplete, kReadFailed, kWriteFailed };

/// Sends a request whose header has been parsed, then streams its body, buffering at most one
/// block. A body that is cut short is never terminated as if it were complete.
asio::awaitable<transfer_outcome> TransferRequest(connection& from, request_parser& parser,
                                                  connection& to, milliseconds progress_timeout,
                                                  std::uint64_t& transferred_bytes);

/// State of a response that is being sent. If its source fails, another source can continue it.
/// With a pacer, a long response is limited to the rate of the link.
struct response_writer {
  explicit response_writer(response_message& response, link_pacer* response_pacer = nullptr)
      : message(response), serializer(response), pacer(response_pacer) {}

  response_message& message;
  bhttp::response_serializer<bhttp::buffer_body> serializer;
  link_pacer* pacer;
  std::uint64_t body_bytes = 0;
};

/// Streams a response, or the rest of one.
asio::awaitable<transfer_outcome> TransferResponse(connection& from, response_parser& parser,
                                                   connection& to, response_writer& writer,
                                                   milliseconds progress_timeout);

/// Sends only the body of a request whose header has been sent already. The prefix is the part of
/// the body that has been read; it is sent first.
asio::awaitable<transfer_outcome> TransferBody(connection& from, request_parser& parser,
                                               connection& to, const std::string& prefix,
                                               milliseconds progress_timeout,
                                               std::uint64_t& transferred_bytes);

/// How reading a body ended.
enum class body_outcome { kComplete, kTooLong, kMalformed, kDisconnected, kTurnedAway };

/// The response to a request that was not read to its end since the budget is exhausted.
local_response TurnedAwayResponse();

/// Reads the rest of a body into a string. Stops with kTooLong once more than max_bytes are held.
/// With kTurnedAway, what was read has been released.
asio::awaitable<body_outcome> ReadRemainingBody(connection& from, request_parser& parser,
                                                std::size_t max_bytes, std::string& body,
                                                milliseconds progress_timeout);

/// Reads and discards the rest of a body, so that the connection can be reused. Returns false if
/// the body is malformed, too long to be worth reading, cut short or not complete at the deadline.
template <bool kIsRequest>
asio::awaitable<bool> DiscardBody(connection& from,
                                  bhttp::parser<kIsRequest, bhttp::buffer_body>& parser,
                                  milliseconds progress_timeout,
                                  time_point deadline = time_point::max());

/// Sends "100 Continue".
asio::awaitable<bool> SendContinue(connection& to, milliseconds timeout);

/// Closes a connection with a reset, so that the peer does not take the message for complete.
void Abort(connection& broken);

/// Whether the peer has closed a connection. One with unread data counts as open.
bool IsClosed(connection& open);

/// Whether bytes have arrived on a connection that are not read yet.
bool HasUnreadBytes(connection& open);

/// Whether the peer of an idle connection has closed it or sent unexpected data.
bool IsStale(connection& idle);

/// Runs a callback when the peer closes a connection while nothing is being read from it. The watch
/// ends on destruction.
class disconnect_watch {
 public:
  disconnect_watch(connection& watched, std::function<void()> on_disconnect);
  ~disconnect_watch();
  disconnect_watch(const disconnect_watch&) = delete;
  disconnect_watch& operator=(const disconnect_watch&) = delete;

 private:
  connection& watched_;
  std::shared_ptr<bool> active_;
};

/// How long a peer keeps an idle connection open according to the Keep-Alive field of its response,
/// less a margin for the network; a default if the response states nothing.
milliseconds PeerIdleTimeout(const bhttp::fields& response);

/// Opens a connection. Fails with kInvalid, kUnavailable or kTimeout.
asio::awaitable<result<connection_ptr>> Connect(endpoint peer, milliseconds timeout);

/// Idle connections of one worker, by peer. Only SetLimit may be called from other threads.
class connection_pool {
 public:
  explicit connection_pool(const proxy_settings& settings)
      : settings_(settings), limit_(settings.max_idle_connections) {}

  /// Takes a connection that its peer has not closed and that was used within max_age, or returns
  /// null.
  connection_ptr TakeIdle(const endpoint& peer, milliseconds max_age);

  /// Keeps a connection for reuse for as long as its peer leaves it open when idle.
  void Return(const endpoint& peer, connection_ptr idle, milliseconds idle_timeout);

  /// Closes the idle connections to one peer.
  void CloseIdle(const endpoint& peer) { idle_.erase(peer); }

  /// Sets how many idle connections to one peer are kept at most.
  void SetLimit(std::int64_t limit) { limit_ = limit; }

  /// Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  struct idle_connection {
    connection_ptr pooled;
    time_point idle_since;
    milliseconds idle_timeout;
  };
  const proxy_settings& settings_;
  std::atomic<std::int64_t> limit_;
  std::map<endpoint, std::vector<idle_connection>> idle_;
};

/// Counts a request as in progress during its lifetime.
struct active_request {
  explicit active_request(std::atomic<std::size_t>& counter) : count(counter) { ++count; }
  ~active_request() { --count; }
  active_request(const active_request&) = delete;
  active_request& operator=(const active_request&) = delete;
  std::atomic<std::size_t>& count;
};

/// Binds a listening socket.
result<std::unique_ptr<asio::ip::tcp::acceptor>> Bind(asio::io_context& context,
                                                      const endpoint& local_endpoint);

}  // namespace catkinmoor::proxy_internal
