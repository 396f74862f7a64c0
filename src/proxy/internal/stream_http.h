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

/// One TCP connection with the bytes read ahead from it.
struct connection {
  explicit connection(beast::tcp_stream to) : stream(std::move(to)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

using connection_ptr = std::unique_ptr<connection>;

/// An answer that this daemon makes itself.
struct own_answer {
  unsigned status = 503;
  const char* outcome = "not-run";
  std::string reason;
  error failure;
  /// When a request that was not run is worth sending again.
  milliseconds retry_after{1'000};
  /// A gate's report of its load, for the entry alone.
  std::string load;
};

/// Removes fields that concern one connection only, those listed in Connection included.
void RemoveHopByHop(bhttp::fields& fields);

/// Removes the fields that daemons use among themselves.
void RemoveOwnHeaders(bhttp::fields& fields);

/// Reads a request's header into the parser. Yields the answer to give when it is malformed, and
/// nothing with the stream closed when the peer went away or stayed idle.
enum class read_outcome { kRequest, kMalformed, kGone };
struct read_result {
  read_outcome what = read_outcome::kGone;
  own_answer answer;
};
asio::awaitable<read_result> ReadRequestHeader(connection& from, request_parser& parser,
                                               const proxy_settings& settings);

/// Sends an answer of our own. False when the connection cannot be used further.
asio::awaitable<bool> SendOwnAnswer(connection& to, const own_answer& answer, bool keep_alive,
                                    bool head, milliseconds timeout,
                                    bool fractional_retry_after = false);

/// How far the transfer of a body came.
enum class transfer_outcome { kWhole, kReadFailed, kWriteFailed };

/// Sends a request whose header stands in the parser, and its body as it arrives, never holding
/// more than one block of it. A message that breaks off is never ended as if it were whole.
asio::awaitable<transfer_outcome> TransferRequest(connection& from, request_parser& parser,
                                                  connection& to, milliseconds progress);

/// An answer on its way to a caller. When its source breaks off, another can go on with it. A long
/// one keeps to the pace of the link where there is one.
struct answer_writer {
  explicit answer_writer(response_message& of, link_pacer* by = nullptr)
      : message(of), serializer(of), pacer(by) {}

  response_message& message;
  bhttp::response_serializer<bhttp::buffer_body> serializer;
  link_pacer* pacer;
  std::uint64_t body_bytes = 0;
};

/// Sends an answer, or the rest of one, as it arrives.
asio::awaitable<transfer_outcome> TransferAnswer(connection& from, response_parser& parser,
                                                 connection& to, answer_writer& writer,
                                                 milliseconds progress);

/// Sends the body alone, for a request whose header has been sent already. It begins with what has
/// been read of it.
asio::awaitable<transfer_outcome> TransferBody(connection& from, request_parser& parser,
                                               connection& to, const std::string& begin,
                                               milliseconds progress);

/// How the reading of a body ended.
enum class body_outcome { kWhole, kTooLong, kMalformed, kGone };

/// Reads the rest of a body into a string. Of one that is longer than the bound, a little more than
/// the bound is read.
template <bool kIsRequest>
asio::awaitable<body_outcome> ReadWholeBody(connection& from,
                                            bhttp::parser<kIsRequest, bhttp::buffer_body>& parser,
                                            std::size_t bound, std::string& body,
                                            milliseconds progress);

/// Reads and drops the rest of a request's body, so that the connection can be used again. False
/// when that is not worth while.
asio::awaitable<bool> DropBody(connection& from, request_parser& parser, milliseconds progress);

/// Sends "100 Continue".
asio::awaitable<bool> SendContinue(connection& to, milliseconds timeout);

/// Closes a connection so that the peer sees it broken rather than ended.
void Abort(connection& broken);

/// Whether the peer has closed a connection. Bytes that wait to be read say that it has not.
bool IsClosed(connection& open);

/// Whether a peer has closed an idle connection, or sent bytes nobody asked for.
bool IsStale(connection& idle);

/// Calls back when the peer closes a connection while nothing is being read from it. Ends with its
/// own life.
class disconnect_watch {
 public:
  disconnect_watch(connection& watched, std::function<void()> on_gone);
  ~disconnect_watch();
  disconnect_watch(const disconnect_watch&) = delete;
  disconnect_watch& operator=(const disconnect_watch&) = delete;

 private:
  connection& watched_;
  std::shared_ptr<bool> active_;
};

/// How long a peer leaves a connection open when idle, as far as its answer says, with some time
/// taken off for the way.
milliseconds IdleTimeOf(const bhttp::fields& answer);

/// Opens a connection. Fails with kUnavailable or kTimeout.
asio::awaitable<result<connection_ptr>> Connect(endpoint peer, milliseconds timeout);

/// Idle connections of one worker, by peer. Used on the worker's thread only.
class connection_pool {
 public:
  explicit connection_pool(const proxy_settings& settings)
      : settings_(settings), limit_(settings.pool_idle) {}

  /// A connection that the peer has not closed and that was used within the age, or null.
  connection_ptr TakeIdle(const endpoint& peer, milliseconds oldest);
  /// Keeps a connection for the time that its peer leaves it open when idle.
  void Return(const endpoint& peer, connection_ptr idle, milliseconds usable);

  /// Closes the idle connections to one peer.
  void Forget(const endpoint& peer) { idle_.erase(peer); }

  /// Bounds how many idle connections to one peer are kept.
  void SetLimit(std::int64_t idle) { limit_ = idle; }

  /// Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  struct idle_connection {
    connection_ptr held;
    time_point since;
    milliseconds usable;
  };
  const proxy_settings& settings_;
  std::atomic<std::int64_t> limit_;
  std::map<endpoint, std::vector<idle_connection>> idle_;
};

/// Counts a request as in progress for as long as it lives.
struct activity {
  explicit activity(std::atomic<std::size_t>& counter) : count(counter) { ++count; }
  ~activity() { --count; }
  activity(const activity&) = delete;
  activity& operator=(const activity&) = delete;
  std::atomic<std::size_t>& count;
};

/// Binds a listening socket.
result<std::unique_ptr<asio::ip::tcp::acceptor>> Bind(asio::io_context& context,
                                                      const endpoint& where);

}  // namespace catkinmoor::proxy_internal
