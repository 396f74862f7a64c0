#include "framework/http/response_head.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace {

using catkinmoor::http::connection_end;
using catkinmoor::http::HowEnded;
using catkinmoor::http::response_head_check;
using state = response_head_check::state;

constexpr std::size_t kMaxBytes = 1'000;
const std::string kOk = "HTTP/1.1 200 OK\r\n";

struct head_case {
  std::string head;
  /// Part of the expected problem; empty if the head is accepted.
  std::string problem;
};

std::vector<head_case> Cases() {
  const std::string nul(1, '\0');
  return {
      // Status line.
      {"HTTP/1.1 100 Continue\r\n\r\n", ""},
      {"HTTP/1.1 200 \r\n\r\n", ""},
      {"HTTP/1.0 200 OK\r\n\r\n", ""},
      {"HTTP/1.1 599 X\r\n\r\n", ""},
      {"HTTP/1.1 200 \xC3\xA9t\xC3\xA9\r\n\r\n", ""},
      {"HTTP/1.1 000 None\r\n\r\n", "status"},
      {"HTTP/1.1 099 None\r\n\r\n", "status"},
      {"HTTP/1.1 600 None\r\n\r\n", "status"},
      {"HTTP/1.1 999 None\r\n\r\n", "status"},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "switched"},
      {"HTTP/1.1 20 OK\r\n\r\n", "status line"},
      {"HTTP/1.1 2000 OK\r\n\r\n", "status line"},
      {"HTTP/1.1 -20 OK\r\n\r\n", "status line"},
      {"HTTP/1.1  200 OK\r\n\r\n", "status line"},
      {"HTTP/1.1 200\r\n\r\n", "status line"},
      {"HTTP/2.0 200 OK\r\n\r\n", "status line"},
      {"http/1.1 200 OK\r\n\r\n", "status line"},
      {"\r\nHTTP/1.1 200 OK\r\n\r\n", "status line"},
      {"HTTP/1.1 200 O\x01K\r\n\r\n", "reason"},
      // Field names.
      {kOk + "X-Any!#$%&'*+-.^_`|~9: a\r\n\r\n", ""},
      {kOk + "Bad Name: a\r\n\r\n", "name"},
      {kOk + "Bad-Name : a\r\n\r\n", "name"},
      {kOk + "Bad\x01Name: a\r\n\r\n", "name"},
      {kOk + "Bad" + nul + "Name: a\r\n\r\n", "name"},
      {kOk + "B\xC3\xA4\x64: a\r\n\r\n", "name"},
      {kOk + "Bad(Name): a\r\n\r\n", "name"},
      {kOk + ": a\r\n\r\n", "name"},
      {kOk + "No-Colon\r\n\r\n", "name"},
      // Field values.
      {kOk + "X: \r\n\r\n", ""},
      {kOk + "X:a\tb \r\n\r\n", ""},
      {kOk + "X: \xFF\r\n\r\n", ""},
      {kOk + "X: a\x01\r\n\r\n", "value"},
      {kOk + "X: a" + nul + "\r\n\r\n", "value"},
      {kOk + "X: a\x7F\r\n\r\n", "value"},
      {kOk + "X: a\rb\r\n\r\n", "value"},
      {kOk + "X: a\r\r\n\r\n", "value"},
      // Ends of lines and folded lines.
      {"HTTP/1.1 200 OK\n\n", "CR LF"},
      {kOk + "X: a\n\r\n", "CR LF"},
      {kOk + "X: a\r\n\n", "CR LF"},
      {kOk + "X: a\r\n b\r\n\r\n", "folded"},
      {kOk + "X: a\r\n\tb\r\n\r\n", "folded"},
      {kOk + " X: a\r\n\r\n", "folded"},
      // Framing.
      {kOk + "Content-Length: 0\r\n\r\n", ""},
      {kOk + "Content-Length: 18446744073709551615\r\n\r\n", ""},
      {kOk + "transfer-encoding: Chunked\r\n\r\n", ""},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
      {kOk + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", "more than one"},
      {kOk + "Content-Length: 5\r\ncontent-length: 5\r\n\r\n", "more than one"},
      {kOk + "Content-Length: 5, 6\r\n\r\n", "not a number"},
      {kOk + "Content-Length: -5\r\n\r\n", "not a number"},
      {kOk + "Content-Length: +5\r\n\r\n", "not a number"},
      {kOk + "Content-Length: 0x5\r\n\r\n", "not a number"},
      {kOk + "Content-Length:\r\n\r\n", "not a number"},
      {kOk + "Content-Length: 18446744073709551616\r\n\r\n", "not a number"},
      {kOk + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "together"},
      {kOk + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", "together"},
      {kOk + "Transfer-Encoding: gzip\r\n\r\n", "coding"},
      {kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n", "coding"},
      {kOk + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "coding"},
      {kOk + "Transfer-Encoding: identity\r\n\r\n", "coding"},
      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0"},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "permits none"},
      {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "permits none"},
      {"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n", "permits none"},
      // Size.
      {kOk + "X: " + std::string(kMaxBytes, 'x') + "\r\n\r\n", "too long"},
      {std::string(kMaxBytes, 'x'), "too long"},
  };
}

/// The two ends of a TCP connection.
struct socket_pair {
  socket_pair() {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bool opened = ::bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                  ::listen(listener, 1) == 0;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    reader = ::socket(AF_INET, SOCK_STREAM, 0);
    opened = opened && ::connect(reader, reinterpret_cast<const sockaddr*>(&address), size) == 0;
    peer = opened ? ::accept(listener, nullptr, nullptr) : -1;
    cr_assert(peer >= 0, "no connection over the loopback interface");
    ::close(listener);
  }
  ~socket_pair() { ::close(reader); }
  socket_pair(const socket_pair&) = delete;
  socket_pair& operator=(const socket_pair&) = delete;

  int reader = -1;
  int peer = -1;
};

}  // namespace

// Guards against heads that two readers understand differently, or that are no heads at all.
Test(response_head, of_each_case_is_accepted_or_refused_for_its_reason) {
  for (const head_case& each : Cases()) {
    response_head_check check(kMaxBytes);
    const state checked = check.Check(each.head + "body");
    const state expected = each.problem.empty() ? state::kComplete : state::kRefused;
    cr_expect(checked == expected, "%s: %s", each.head.c_str(), check.Problem());
    const bool has_reason = std::string(check.Problem()).find(each.problem) != std::string::npos;
    cr_expect(has_reason, "%s: %s", each.head.c_str(), check.Problem());
    if (checked == state::kComplete) cr_expect_eq(check.Bytes(), each.head.size());
  }
}

// Guards against verdicts that depend on how the network cuts a head: a connection that ends at any
// byte of a head leaves it incomplete, never complete.
Test(response_head, received_byte_by_byte_has_the_same_verdict) {
  for (const head_case& each : Cases()) {
    response_head_check whole(kMaxBytes);
    const state expected = whole.Check(each.head);
    response_head_check check(kMaxBytes);
    state checked = state::kIncomplete;
    std::size_t received = 0;
    while (checked == state::kIncomplete && received < each.head.size()) {
      checked = check.Check(std::string_view(each.head).substr(0, ++received));
    }
    cr_expect(checked == expected, "%s", each.head.c_str());
    if (checked == state::kComplete) cr_expect_eq(received, each.head.size());
  }
}

Test(response_head, reports_the_status) {
  response_head_check check(kMaxBytes);
  cr_assert(check.Check("HTTP/1.1 404 Not Found\r\n\r\n") == state::kComplete);
  cr_assert_eq(check.Status(), 404U);
}

// Guards against a reset that a failed write hides: the reads after it return the end of the
// connection like those after an orderly close.
Test(connection_end, after_a_write_consumed_the_reset_is_a_reset) {
  const socket_pair pair;
  const linger reset{1, 0};
  ::send(pair.peer, "part", 4, MSG_NOSIGNAL);
  ::setsockopt(pair.peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  ::close(pair.peer);
  cr_assert_lt(::send(pair.reader, "upload", 6, MSG_NOSIGNAL), 0);
  char block[16];
  cr_assert_eq(::recv(pair.reader, block, sizeof(block), 0), 4);
  cr_assert_eq(::recv(pair.reader, block, sizeof(block), 0), 0);
  cr_assert(HowEnded(pair.reader) == connection_end::kReset);
}

Test(connection_end, after_a_close_is_orderly) {
  const socket_pair pair;
  ::send(pair.peer, "part", 4, MSG_NOSIGNAL);
  ::close(pair.peer);
  char block[16];
  while (::recv(pair.reader, block, sizeof(block), 0) > 0) continue;
  cr_assert(HowEnded(pair.reader) == connection_end::kOrderly);
}

Test(connection_end, of_what_is_no_connection_is_unknown) {
  cr_assert(HowEnded(-1) == connection_end::kUnknown);
}
