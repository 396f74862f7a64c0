#include "framework/http/client.h"

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using catkinmoor::endpoint;
using catkinmoor::error_kind;
using catkinmoor::milliseconds;
using catkinmoor::Ok;
using catkinmoor::result;
using catkinmoor::http::client;
using catkinmoor::http::request;
using catkinmoor::http::response;

constexpr milliseconds kShortTimeout{200};
constexpr milliseconds kLongTimeout{20'000};

/// A peer whose open connections can go silent for good, while new ones work. It holds responses
/// back until as many requests as expected have arrived, so that each uses a connection of its own.
class peer_stub {
 public:
  explicit peer_stub(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), all_arrived_(context) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int Connections() const { return connections_; }
  void ExpectTogether(int count) { missing_ = count; }
  void Silence() { silent_up_to_ = connections_; }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket), ++connections_),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket, int number) {
    asio::streambuf received;
    for (;;) {
      const std::size_t size =
          co_await asio::async_read_until(socket, received, "\r\n\r\n", asio::use_awaitable);
      received.consume(size);
      if (number <= silent_up_to_) continue;
      if (--missing_ <= 0) all_arrived_.cancel();
      while (missing_ > 0) {
        all_arrived_.expires_after(kLongTimeout);
        boost::system::error_code ignored;
        co_await all_arrived_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
    }
  }

  tcp::acceptor acceptor_;
  asio::steady_timer all_arrived_;
  int connections_ = 0;
  int silent_up_to_ = 0;
  int missing_ = 0;
};

/// A client and its peer on one thread.
struct client_fixture {
  asio::io_context context{1};
  peer_stub peer{context};
  client subject;

  /// Sends requests at the same time and waits for all results.
  std::vector<result<response>> Send(int count, milliseconds timeout, const char* method = "GET") {
    peer.ExpectTogether(count);
    std::vector<result<response>> outcomes;
    for (int i = 0; i < count; ++i) {
      asio::co_spawn(context, subject.Send(peer.Address(), request{method, "/", {}, ""}, timeout),
                     [&](const std::exception_ptr&, result<response> outcome) {
                       outcomes.push_back(std::move(outcome));
                     });
    }
    while (outcomes.size() < static_cast<std::size_t>(count)) context.run_one();
    return outcomes;
  }
};

}  // namespace

// Guards against connections to the store that go silent for good: each idle one was tried in turn,
// and each cost a timeout.
Test(client, with_all_connections_gone_silent_opens_a_new_one_after_one_timeout) {
  for (const char* method : {"GET", "POST"}) {
    client_fixture fixture;
    for (const auto& each : fixture.Send(3, kLongTimeout)) cr_assert(Ok(each));
    cr_assert(fixture.peer.Connections() == 3);
    fixture.peer.Silence();
    const auto unanswered = fixture.Send(1, kShortTimeout, method).front();
    cr_assert(!Ok(unanswered));
    cr_assert(Failure(unanswered).kind ==
              (std::string(method) == "GET" ? error_kind::kTimeout : error_kind::kUndecided));
    cr_assert(Ok(fixture.Send(1, kLongTimeout, method).front()));
    cr_assert(fixture.peer.Connections() == 4);
  }
}

Test(client, with_connections_that_work_reuses_them) {
  client_fixture fixture;
  for (int i = 0; i < 5; ++i) cr_assert(Ok(fixture.Send(1, kLongTimeout).front()));
  cr_assert(fixture.peer.Connections() == 1);
}

namespace {

/// A peer that answers each request with the same bytes and closes the connection afterwards if
/// asked to.
class scripted_peer {
 public:
  scripted_peer(asio::io_context& context, std::string answer, bool closes)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        answer_(std::move(answer)),
        closes_(closes) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int Connections() const { return connections_; }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections_;
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    asio::streambuf received;
    do {
      const std::size_t size =
          co_await asio::async_read_until(socket, received, "\r\n\r\n", asio::use_awaitable);
      received.consume(size);
      co_await asio::async_write(socket, asio::buffer(answer_), asio::use_awaitable);
    } while (!closes_);
  }

  tcp::acceptor acceptor_;
  std::string answer_;
  bool closes_;
  int connections_ = 0;
};

result<response> SendTo(asio::io_context& context, client& subject, const scripted_peer& peer) {
  std::optional<result<response>> outcome;
  asio::co_spawn(
      context, subject.Send(peer.Address(), request{"GET", "/", {}, ""}, kLongTimeout),
      [&](const std::exception_ptr&, result<response> sent) { outcome = std::move(sent); });
  while (!outcome) context.run_one();
  return *outcome;
}

}  // namespace

// Guards against an interim response that is taken for the final one, which is then returned to the
// next request on the connection.
Test(client, with_interim_responses_returns_the_final_one_of_each_request) {
  asio::io_context context{1};
  const scripted_peer peer(context,
                           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                           false);
  client subject;
  for (int i = 0; i < 3; ++i) {
    const auto outcome = SendTo(context, subject, peer);
    cr_assert(Ok(outcome));
    cr_assert_eq(Value(outcome).status, 200);
    cr_assert_eq(Value(outcome).body, "hi");
  }
  cr_assert_eq(peer.Connections(), 1);
}

// Guards against a store whose broken responses are taken for documents or refusals.
Test(client, with_a_broken_response_fails) {
  std::string flood;
  for (int i = 0; i < 20; ++i) flood += "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& answer :
       {std::string("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi"),
        std::string("HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nhi"),
        ok + "Bad Name: a\r\nContent-Length: 2\r\n\r\nhi",
        ok + "X: a\r\n folded\r\nContent-Length: 2\r\n\r\nhi",
        ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
        ok + "Content-Length: 3\r\n\r\nhi", ok + "Transfer-Encoding: gzip\r\n\r\nhi",
        flood + ok + "Content-Length: 2\r\n\r\nhi"}) {
    asio::io_context context{1};
    const scripted_peer peer(context, answer, true);
    client subject;
    const auto outcome = SendTo(context, subject, peer);
    cr_assert(!Ok(outcome), "%s", answer.c_str());
    cr_assert(Failure(outcome).kind == error_kind::kUnavailable);
  }
}

namespace {

/// A peer that sends bytes without end after the head of a response, until its caller closes.
class endless_peer {
 public:
  endless_peer(asio::io_context& context, std::string head, std::string repeated)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        head_(std::move(head)),
        repeated_(std::move(repeated)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  /// Connections on which a caller still takes bytes.
  int Open() const { return open_; }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    ++open_;
    asio::streambuf received;
    boost::system::error_code failed;
    co_await asio::async_read_until(socket, received, "\r\n\r\n",
                                    asio::redirect_error(asio::use_awaitable, failed));
    if (!failed) {
      co_await asio::async_write(socket, asio::buffer(head_),
                                 asio::redirect_error(asio::use_awaitable, failed));
    }
    while (!failed) {
      co_await asio::async_write(socket, asio::buffer(repeated_),
                                 asio::redirect_error(asio::use_awaitable, failed));
    }
    --open_;
  }

  tcp::acceptor acceptor_;
  std::string head_;
  std::string repeated_;
  int open_ = 0;
};

/// Memory of this process in bytes.
std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(::getpagesize());
}

}  // namespace

// Pattern: a store in trouble sends bytes that are no answer, in a head or a body, until its caller
// closes. The process must not run out of memory, and calls to others must be answered.
Test(client, of_responses_without_end_holds_bounded_memory_and_serves_other_calls, .timeout = 120) {
  constexpr catkinmoor::http::client_limits kLimits{1U << 20U, 2U << 20U};
  constexpr std::size_t kCalls = 24;
  // The bodies, and 0.1 MB for each connection's unparsed bytes and fields.
  constexpr std::size_t kMaxGrowth = (2U << 20U) + kCalls * (100U << 10U) + (4U << 20U);
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string kilobyte(1'024, 'x');
  const std::vector<std::pair<std::string, std::string>> answers = {
      {"", kilobyte},
      {ok + "X-Long: ", kilobyte},
      {ok, "X-More: " + kilobyte + "\r\n"},
      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
      {ok + "\r\n", kilobyte},
      {ok + "Content-Length: 1000000000000\r\n\r\n", kilobyte},
      {ok + "Content-Length: 1000000\r\n\r\n", kilobyte},
      {chunked, "400\r\n" + kilobyte + "\r\n"},
      {chunked + "5;", kilobyte},
      {chunked + "5\r\nhello\r\n0\r\n", "X-More: " + kilobyte + "\r\n"},
      {chunked + "5\r\nhello\r\n0\r\n", "A:\r\n"}};
  for (const auto& [head, repeated] : answers) {
    asio::io_context context{1};
    const endless_peer endless(context, head, repeated);
    const scripted_peer sound(context, ok + "Content-Length: 2\r\n\r\nhi", false);
    client subject({}, kLimits);
    const std::size_t before = ResidentBytes();
    std::size_t most = before;
    std::size_t ended = 0;
    for (std::size_t i = 0; i < kCalls; ++i) {
      asio::co_spawn(context,
                     subject.Send(endless.Address(), request{"GET", "/", {}, ""}, kLongTimeout),
                     [&](const std::exception_ptr&, const result<response>&) { ++ended; });
    }
    for (int i = 0; i < 3; ++i) {
      cr_assert(Ok(SendTo(context, subject, sound)), "%s%s", head.c_str(), repeated.c_str());
    }
    while (ended < kCalls || endless.Open() > 0) {
      context.run_one();
      most = std::max(most, ResidentBytes());
    }
    cr_assert(most - before <= kMaxGrowth, "%s%s: %zu bytes", head.c_str(),
              repeated.substr(0, 20).c_str(), most - before);
  }
}

// Guards against fields that a peer adds behind the body, after the head has been acted on.
Test(client, with_fields_in_a_trailer_does_not_return_them) {
  asio::io_context context{1};
  const scripted_peer peer(context,
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
                           "X-Own: 9\r\n\r\n",
                           false);
  client subject;
  const auto outcome = SendTo(context, subject, peer);
  cr_assert(Ok(outcome));
  cr_assert_eq(Value(outcome).body, "hi");
  cr_assert_eq(Value(outcome).headers.count("X-Own"), 0U);
}
