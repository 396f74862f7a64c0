#include "process_tests/scripted_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/digest.h"
#include "framework/http/client.h"
#include "process_tests/fleet.h"

namespace catkinmoor {
namespace {

constexpr std::uint16_t kDaemonLocalPort = 9004;
constexpr int kIdleTimeoutMs = 1'000;
constexpr milliseconds kAnnounceInterval{200};
constexpr milliseconds kAnnounceTimeout{1'000};

sockaddr_in SocketAddress(const std::string& address, int port) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, address.c_str(), &socket_address.sin_addr);
  return socket_address;
}

bool WaitUntilReadable(int socket, int timeout_ms) {
  pollfd wait{socket, POLLIN, 0};
  return ::poll(&wait, 1, timeout_ms) > 0;
}

/// Reads until the end of a request's head, which may have been received in part before. Returns
/// all that was received, or an empty text if the client closed the connection before.
std::string ReadHead(int socket, std::string received) {
  char block[4096];
  while (received.find("\r\n\r\n") == std::string::npos) {
    const auto got = ::recv(socket, block, sizeof(block), 0);
    if (got <= 0) return "";
    received.append(block, static_cast<std::size_t>(got));
  }
  return received;
}

/// Reads the rest of a body whose beginning follows the head in `received`. Returns the bytes that
/// follow the body, or nothing if the client closed the connection before.
std::optional<std::string> ReadBody(int socket, const std::string& received, std::size_t bytes) {
  std::string body = received.substr(received.find("\r\n\r\n") + 4);
  std::vector<char> block(64U << 10U);
  while (body.size() < bytes) {
    const auto got = ::recv(socket, block.data(), block.size(), 0);
    if (got <= 0) return std::nullopt;
    body.append(block.data(), static_cast<std::size_t>(got));
  }
  return body.substr(bytes);
}

}  // namespace

scripted_server::scripted_server(const std::string& address, int port, script response_script)
    : script_(std::move(response_script)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in socket_address = SocketAddress(address, port);
  const bool bound = ::bind(listener_, reinterpret_cast<const sockaddr*>(&socket_address),
                            sizeof(socket_address)) == 0 &&
                     ::listen(listener_, SOMAXCONN) == 0;
  if (!bound) FailTest("cannot bind or listen on the port of the scripted server");
  server_ = std::thread([this] { Serve(); });
}

scripted_server::~scripted_server() {
  stopping_ = true;
  server_.join();
  ::close(listener_);
}

void scripted_server::Serve() {
  std::vector<std::thread> handlers;
  while (!stopping_) {
    if (!WaitUntilReadable(listener_, 20)) continue;
    const int connection = ::accept(listener_, nullptr, nullptr);
    if (connection >= 0) handlers.emplace_back([this, connection] { ServeConnection(connection); });
  }
  for (std::thread& each : handlers) each.join();
}

void scripted_server::ServeConnection(int connection) {
  bool open = true;
  std::string rest;
  while (open && !stopping_) {
    if (rest.empty() && !WaitUntilReadable(connection, 20)) continue;
    const std::string head = ReadHead(connection, std::move(rest));
    rest.clear();
    if (head.empty()) break;
    ++requests_;
    const response scripted = script_(head);
    std::this_thread::sleep_for(std::chrono::milliseconds(scripted.delay_ms));
    ::send(connection, scripted.bytes.data(), scripted.bytes.size(), MSG_NOSIGNAL);
    if (!scripted.repeated.empty()) {
      SendEndlessly(connection, scripted.repeated, scripted.repeat_pause_ms);
    }
    open = scripted.keep_alive && scripted.repeated.empty();
    if (scripted.body_bytes > 0) {
      const auto following = ReadBody(connection, head, scripted.body_bytes);
      if (!following) break;
      ++bodies_read_;
      rest = *following;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(scripted.hold_ms));
    if (scripted.reset) {
      const linger reset{1, 0};
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::close(connection);
      return;
    }
  }
  ::shutdown(connection, SHUT_WR);
  ::close(connection);
}

void scripted_server::SendEndlessly(int connection, const std::string& repeated, int pause_ms) {
  const timeval send_timeout{0, 50'000};
  ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof(send_timeout));
  while (!stopping_) {
    const auto sent = ::send(connection, repeated.data(), repeated.size(), MSG_NOSIGNAL);
    const bool blocked = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    if (sent >= 0 || blocked) continue;
    ++endless_closed_;
    return;
  }
}

scripted_target::scripted_target(const std::string& address, script response_script)
    : scripted_server(address, kPort, std::move(response_script)), address_(address) {
  announcer_ = std::thread([this] { AnnouncePeriodically(); });
}

scripted_target::~scripted_target() {
  announcing_ = false;
  announcer_.join();
}

void scripted_target::AnnouncePeriodically() {
  const std::string body = R"({"service": "slotboard", "slots": 50, "instance": ")" + RandomId() +
                           R"(", "address": ")" + address_ + ":" + std::to_string(kPort) + "\"}";
  while (announcing_) {
    http::SendBlocking({address_, kDaemonLocalPort}, {"POST", "/v1/target", {}, body},
                       kAnnounceTimeout);
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

raw_connection::raw_connection(const std::string& address, int port)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  const sockaddr_in socket_address = SocketAddress(address, port);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof(socket_address)) != 0) {
    Close();
    FailTest("cannot connect to " + address);
  }
}

raw_connection::~raw_connection() { Close(); }

void raw_connection::Close() {
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
}

void raw_connection::Send(const std::string& bytes) {
  ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

const std::string& raw_connection::ReceiveUntil(const std::string& text, int timeout_ms) {
  const time_point deadline = Now() + milliseconds(timeout_ms);
  char block[4096];
  while (received_.find(text) == std::string::npos) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Now()).count();
    if (left <= 0 || !WaitUntilReadable(socket_, static_cast<int>(left))) break;
    const auto got = ::recv(socket_, block, sizeof(block), 0);
    if (got <= 0) break;
    received_.append(block, static_cast<std::size_t>(got));
  }
  return received_;
}

std::string SendRaw(const std::string& address, int port, const std::string& bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in socket_address = SocketAddress(address, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof(socket_address)) != 0) {
    ::close(socket);
    FailTest("cannot connect to " + address);
  }
  ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string received;
  char block[4096];
  while (WaitUntilReadable(socket, kIdleTimeoutMs)) {
    const auto got = ::recv(socket, block, sizeof(block), 0);
    if (got <= 0) break;
    received.append(block, static_cast<std::size_t>(got));
  }
  ::close(socket);
  return received;
}

}  // namespace catkinmoor
