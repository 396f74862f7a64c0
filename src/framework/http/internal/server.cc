#include "framework/http/server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "framework/http/internal/limits.h"

namespace catkinmoor::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);

request HeadOf(const bhttp::request<bhttp::string_body>& from) {
  request to;
  to.method = std::string(from.method_string());
  to.target = std::string(from.target());
  for (const auto& each : from) {
    to.headers.emplace(std::string(each.name_string()), std::string(each.value()));
  }
  return to;
}

/// Reads a whole request. The fields of a trailer, which the parser adds to those of the head, are
/// not part of it.
asio::awaitable<beast::error_code> ReadRequest(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               bhttp::request_parser<bhttp::string_body>& parser,
                                               request& to) {
  auto [head_failed, head_bytes] =
      co_await bhttp::async_read_header(stream, buffer, parser, kAwait);
  if (head_failed) co_return head_failed;
  to = HeadOf(parser.get());
  auto [failed, bytes] = co_await bhttp::async_read(stream, buffer, parser, kAwait);
  if (!failed) to.body = std::move(parser.get().body());
  co_return failed;
}

unsigned ErrorStatus(const beast::error_code& failed) {
  if (failed == bhttp::error::header_limit) return 431;
  if (failed == bhttp::error::body_limit) return 413;
  return 400;
}

bool IsProtocolError(const beast::error_code& failed) {
  return failed.category() == make_error_code(bhttp::error::bad_method).category() &&
         failed != bhttp::error::end_of_stream && failed != bhttp::error::partial_message;
}

}  // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(asio::io_context& io, server_limits io_limits, handler request_handler)
      : context(io), limits(io_limits), handle_request(std::move(request_handler)) {}

  asio::io_context& context;
  server_limits limits;
  handler handle_request;
  std::optional<asio::ip::tcp::acceptor> acceptor;
  std::atomic<bool> stopping = false;

  asio::awaitable<void> AcceptConnections() {
    const auto self = shared_from_this();
    while (!stopping) {
      auto [failed, socket] = co_await acceptor->async_accept(asio::make_strand(context), kAwait);
      if (failed == asio::error::operation_aborted || stopping) co_return;
      if (failed) {
        // Accepting fails while the process is out of file descriptors; the pause lets connections
        // close.
        asio::steady_timer pause(context, milliseconds(10));
        co_await pause.async_wait(kAwait);
        continue;
      }
      const auto executor = socket.get_executor();
      asio::co_spawn(executor, ServeConnection(self, beast::tcp_stream(std::move(socket))),
                     asio::detached);
    }
  }

  static asio::awaitable<void> ServeConnection(std::shared_ptr<state> self,
                                               beast::tcp_stream stream) {
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    beast::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    while (!self->stopping) {
      bhttp::request_parser<bhttp::string_body> parser;
      parser.header_limit(self->limits.header_bytes);
      parser.body_limit(self->limits.body_bytes);
      stream.expires_after(self->limits.io_timeout);
      request received;
      const beast::error_code failed = co_await ReadRequest(stream, buffer, parser, received);
      response response_message;
      bool keep_alive = false;
      unsigned version = 11;
      bool is_head = false;
      if (failed) {
        if (!IsProtocolError(failed)) co_return;
        response_message.status = ErrorStatus(failed);
        response_message.body = failed.message() + "\n";
      } else {
        keep_alive = parser.keep_alive();
        version = parser.get().version();
        is_head = parser.get().method() == bhttp::verb::head;
        stream.expires_never();
        response_message = co_await self->handle_request(std::move(received));
      }
      bhttp::response<bhttp::string_body> outgoing(
          static_cast<bhttp::status>(response_message.status), version);
      for (const auto& [name, value] : response_message.headers) outgoing.set(name, value);
      outgoing.body() = std::move(response_message.body);
      outgoing.keep_alive(keep_alive && !self->stopping);
      outgoing.prepare_payload();
      if (is_head) outgoing.body().clear();
      stream.expires_after(self->limits.io_timeout);
      auto [write_failed, written] = co_await bhttp::async_write(stream, outgoing, kAwait);
      if (write_failed || !outgoing.keep_alive()) break;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
};

server::server(asio::io_context& context, server_limits limits, handler handle_request)
    : state_(std::make_shared<state>(context, limits, std::move(handle_request))) {}

server::~server() { Stop(); }

result<done> server::Listen(const endpoint& listen_address) {
  const std::string name = ToString(listen_address);
  beast::error_code failed;
  const auto address = asio::ip::make_address(listen_address.address, failed);
  if (failed) return error{error_kind::kInvalid, "listen", name, failed.message()};
  const asio::ip::tcp::endpoint local(address, listen_address.port);
  auto& acceptor = state_->acceptor.emplace(state_->context);
  acceptor.open(local.protocol(), failed);
  if (!failed) acceptor.set_option(asio::socket_base::reuse_address(true), failed);
  if (!failed) acceptor.bind(local, failed);
  if (!failed) acceptor.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) return error{error_kind::kUnavailable, "listen", name, failed.message()};
  asio::co_spawn(state_->context, state_->AcceptConnections(), asio::detached);
  return done{};
}

void server::Stop() {
  if (state_->stopping.exchange(true) || !state_->acceptor) return;
  asio::post(state_->context, [shared = state_] {
    beast::error_code ignored;
    shared->acceptor->close(ignored);
  });
}

}  // namespace catkinmoor::http
