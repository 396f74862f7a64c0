#include "framework/http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using catkinmoor::endpoint;
using catkinmoor::Ok;
using catkinmoor::http::HeaderValue;
using catkinmoor::http::request;
using catkinmoor::http::response;
using catkinmoor::http::server;

/// A server on its own thread that returns the value of one field of each request.
class server_fixture {
 public:
  explicit server_fixture(const endpoint& address) {
    cr_assert(Ok(server_.Listen(address)));
    thread_ = std::thread([this] { context_.run(); });
  }
  ~server_fixture() {
    context_.stop();
    thread_.join();
  }
  server_fixture(const server_fixture&) = delete;
  server_fixture& operator=(const server_fixture&) = delete;

 private:
  static asio::awaitable<response> Handle(request message) {
    co_return response{200, {}, "<" + std::string(HeaderValue(message.headers, "X-Own")) + ">"};
  }

  asio::io_context context_{1};
  server server_{context_, {}, Handle};
  std::thread thread_;
};

tcp::socket ConnectTo(asio::io_context& context, const endpoint& address) {
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address(address.address), address.port});
  return socket;
}

constexpr const char* kChunkedHead =
    "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// Guards against a field that a caller states behind the body, after the head has been checked.
Test(server, with_fields_in_a_trailer_does_not_pass_them_on) {
  const endpoint address{"127.163.0.1", 9101};
  const server_fixture subject(address);
  asio::io_context context;
  tcp::socket caller = ConnectTo(context, address);
  asio::write(caller, asio::buffer(std::string(kChunkedHead) + "1\r\na\r\n0\r\nX-Own: b\r\n\r\n"));
  std::string answer;
  boost::system::error_code ended;
  asio::read(caller, asio::dynamic_buffer(answer), ended);
  cr_assert(answer.ends_with("<>"), "%s", answer.c_str());
}

// Pattern: a peer sends a chunk extension or a trailer without end.
Test(server, of_a_request_without_end_closes_the_connection, .timeout = 60) {
  constexpr std::size_t kMaxSent = 64U << 20U;
  const endpoint address{"127.163.0.2", 9101};
  const server_fixture subject(address);
  for (const char* begin : {"1;", "0\r\nX-Own: "}) {
    asio::io_context context;
    tcp::socket caller = ConnectTo(context, address);
    asio::write(caller, asio::buffer(std::string(kChunkedHead) + begin));
    const std::string block(64U << 10U, 'x');
    boost::system::error_code failed;
    std::size_t sent = 0;
    while (!failed && sent < kMaxSent) sent += asio::write(caller, asio::buffer(block), failed);
    cr_assert(failed, "%s: %zu bytes taken", begin, sent);
  }
}
