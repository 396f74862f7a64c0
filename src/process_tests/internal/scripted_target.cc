#include "process_tests/scripted_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/digest.h"
#include "framework/http/client.h"
#include "process_tests/fleet.h"

namespace catkinmoor {
namespace {

constexpr int kTargetPort = 8000;
constexpr std::uint16_t kLocalPort = 9004;
constexpr int kQuietMs = 1'000;
constexpr milliseconds kRenew{200};
constexpr milliseconds kAnnounceTimeout{1'000};

sockaddr_in At(const std::string& address, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, address.c_str(), &at.sin_addr);
  return at;
}

bool CanRead(int socket, int timeout_ms) {
  pollfd wait{socket, POLLIN, 0};
  return ::poll(&wait, 1, timeout_ms) > 0;
}

/// Reads until the head of a request is whole. Empty when the peer closed.
std::string ReadHead(int socket) {
  std::string text;
  char block[4096];
  while (text.find("\r\n\r\n") == std::string::npos) {
    const auto got = ::recv(socket, block, sizeof(block), 0);
    if (got <= 0) return "";
    text.append(block, static_cast<std::size_t>(got));
  }
  return text;
}

}  // namespace

scripted_target::scripted_target(const std::string& address, script answers)
    : address_(address), answers_(std::move(answers)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = At(address, kTargetPort);
  const bool bound = ::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 &&
                     ::listen(listener_, SOMAXCONN) == 0;
  if (!bound) FailTest("cannot listen as a scripted target");
  server_ = std::thread([this] { Serve(); });
  announcer_ = std::thread([this] { Announce(); });
}

scripted_target::~scripted_target() {
  stopping_ = true;
  server_.join();
  announcer_.join();
  ::close(listener_);
}

void scripted_target::Serve() {
  std::vector<std::thread> conversations;
  while (!stopping_) {
    if (!CanRead(listener_, 20)) continue;
    const int connection = ::accept(listener_, nullptr, nullptr);
    if (connection >= 0) conversations.emplace_back([this, connection] { Converse(connection); });
  }
  for (std::thread& each : conversations) each.join();
}

void scripted_target::Converse(int connection) {
  bool open = true;
  while (open && !stopping_) {
    if (!CanRead(connection, 20)) continue;
    const std::string head = ReadHead(connection);
    if (head.empty()) break;
    ++requests_;
    const answer given = answers_(head);
    std::this_thread::sleep_for(std::chrono::milliseconds(given.delay_ms));
    ::send(connection, given.bytes.data(), given.bytes.size(), MSG_NOSIGNAL);
    open = given.keep_alive;
  }
  ::shutdown(connection, SHUT_WR);
  ::close(connection);
}

void scripted_target::Announce() {
  const std::string body = R"({"service": "slotboard", "slots": 50, "instance": ")" + RandomId() +
                           R"(", "address": ")" + address_ + ":" + std::to_string(kTargetPort) +
                           "\"}";
  while (!stopping_) {
    http::SendAndWait({address_, kLocalPort}, {"POST", "/v1/target", {}, body}, kAnnounceTimeout);
    std::this_thread::sleep_for(kRenew);
  }
}

std::string SendRaw(const std::string& address, int port, const std::string& bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = At(address, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    ::close(socket);
    FailTest("cannot connect to " + address);
  }
  ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string text;
  char block[4096];
  while (CanRead(socket, kQuietMs)) {
    const auto got = ::recv(socket, block, sizeof(block), 0);
    if (got <= 0) break;
    text.append(block, static_cast<std::size_t>(got));
  }
  ::close(socket);
  return text;
}

}  // namespace catkinmoor
