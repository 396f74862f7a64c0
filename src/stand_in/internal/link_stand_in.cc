#include "stand_in/link_stand_in.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <set>

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr std::size_t kMaxQueuedBlocks = 64;
constexpr milliseconds kFreezePollInterval{10};

/// Bytes in transit in one direction, and the time at which they are delivered.
struct block {
  time_point due;
  std::vector<char> bytes;
};

/// The bytes in transit in one direction of a connection. The timers never expire; they are
/// cancelled to wake up the coroutine that waits on them.
struct block_queue {
  explicit block_queue(asio::io_context& context)
      : data_available(context), space_available(context) {
    data_available.expires_at(time_point::max());
    space_available.expires_at(time_point::max());
  }
  std::deque<block> blocks;
  bool closed = false;
  asio::steady_timer data_available;
  asio::steady_timer space_available;
};

/// A client's connection through the link, and the connection to the server that it is relayed to.
struct relayed_connection {
  relayed_connection(asio::io_context& context, tcp::socket source)
      : client_side(std::move(source)),
        server_side(context),
        to_server(context),
        to_client(context) {}
  tcp::socket client_side;
  tcp::socket server_side;
  block_queue to_server;
  block_queue to_client;
  bool silent = false;

  void Close() {
    boost::system::error_code ignored;
    client_side.close(ignored);
    server_side.close(ignored);
    for (block_queue* each : {&to_server, &to_client}) {
      each->closed = true;
      each->data_available.cancel();
      each->space_available.cancel();
    }
  }
};

}  // namespace

class link_stand_in::impl : public std::enable_shared_from_this<link_stand_in::impl> {
 public:
  impl(asio::io_context& context, link_settings settings)
      : context_(context), settings_(std::move(settings)) {}

  result<done> Listen() {
    for (const std::uint16_t port : settings_.forwarded_ports) {
      const auto listen_port = static_cast<std::uint16_t>(port + settings_.port_offset);
      auto acceptor = std::make_unique<tcp::acceptor>(context_);
      boost::system::error_code failed;
      acceptor->open(tcp::v4(), failed);
      if (!failed) acceptor->set_option(asio::socket_base::reuse_address(true), failed);
      if (!failed) acceptor->bind({asio::ip::address_v4::any(), listen_port}, failed);
      if (!failed) acceptor->listen(asio::socket_base::max_listen_connections, failed);
      if (failed) {
        return error{error_kind::kUnavailable, "listen", std::to_string(listen_port),
                     failed.message()};
      }
      acceptors_.push_back(std::move(acceptor));
      asio::co_spawn(context_, Accept(*acceptors_.back(), port), asio::detached);
    }
    return done{};
  }

  http::response HandleControlRequest(const http::request& message) {
    if (message.Path() == "/control/cut") {
      cut_ = true;
      for (const auto& each : open_connections_) each->Close();
    }
    if (message.Path() == "/control/freeze") frozen_ = true;
    if (message.Path() == "/control/silence") {
      for (const auto& each : open_connections_) each->silent = true;
    }
    if (message.Path() == "/control/heal") cut_ = frozen_ = false;
    const boost::json::object body{{"bytes_out", bytes_to_servers_},
                                   {"bytes_home", bytes_to_clients_},
                                   {"connections", accepted_connections_},
                                   {"cut", cut_},
                                   {"frozen", frozen_}};
    return {200, {}, boost::json::serialize(body) + "\n"};
  }

 private:
  asio::awaitable<void> Accept(tcp::acceptor& acceptor, std::uint16_t port) {
    const auto self = shared_from_this();
    for (;;) {
      auto [failed, socket] = co_await acceptor.async_accept(kAwait);
      if (failed) co_return;
      if (cut_) continue;
      ++accepted_connections_;
      auto relay = std::make_shared<relayed_connection>(context_, std::move(socket));
      asio::co_spawn(context_, Relay(self, relay, port), asio::detached);
    }
  }

  /// Connects to the server after one round trip, and starts to relay bytes in both directions.
  static asio::awaitable<void> Relay(std::shared_ptr<impl> self,
                                     std::shared_ptr<relayed_connection> relay,
                                     std::uint16_t port) {
    boost::system::error_code ignored;
    const auto destination = relay->client_side.local_endpoint(ignored).address();
    asio::steady_timer timer(self->context_, self->settings_.delay * 2);
    co_await timer.async_wait(kAwait);
    auto [failed] = co_await relay->server_side.async_connect({destination, port}, kAwait);
    if (failed || self->cut_) {
      relay->Close();
      co_return;
    }
    relay->client_side.set_option(tcp::no_delay(true), ignored);
    relay->server_side.set_option(tcp::no_delay(true), ignored);
    self->open_connections_.insert(relay);
    asio::co_spawn(self->context_,
                   Read(self, relay, relay->client_side, relay->to_server, self->bytes_to_servers_),
                   asio::detached);
    asio::co_spawn(self->context_,
                   Read(self, relay, relay->server_side, relay->to_client, self->bytes_to_clients_),
                   asio::detached);
    asio::co_spawn(self->context_, Write(self, relay, relay->server_side, relay->to_server),
                   asio::detached);
    asio::co_spawn(self->context_, Write(self, relay, relay->client_side, relay->to_client),
                   asio::detached);
  }

  static asio::awaitable<void> Read(std::shared_ptr<impl> self,
                                    std::shared_ptr<relayed_connection> relay, tcp::socket& source,
                                    block_queue& queue, std::uint64_t& counter) {
    while (!queue.closed) {
      std::vector<char> bytes(kBlockBytes);
      auto [failed, size] = co_await source.async_read_some(asio::buffer(bytes), kAwait);
      if (failed) break;
      if (relay->silent) continue;
      bytes.resize(size);
      counter += size;
      queue.blocks.push_back({Now() + self->settings_.delay, std::move(bytes)});
      queue.data_available.cancel();
      while (queue.blocks.size() > kMaxQueuedBlocks && !queue.closed) {
        co_await queue.space_available.async_wait(kAwait);
      }
    }
    queue.closed = true;
    queue.data_available.cancel();
  }

  static asio::awaitable<void> Write(std::shared_ptr<impl> self,
                                     std::shared_ptr<relayed_connection> relay,
                                     tcp::socket& destination, block_queue& queue) {
    asio::steady_timer timer(self->context_);
    for (;;) {
      while (queue.blocks.empty() && !queue.closed) {
        co_await queue.data_available.async_wait(kAwait);
      }
      if (queue.blocks.empty()) break;
      const block next = std::move(queue.blocks.front());
      queue.blocks.pop_front();
      queue.space_available.cancel();
      timer.expires_at(next.due);
      co_await timer.async_wait(kAwait);
      while (self->frozen_) {
        timer.expires_after(kFreezePollInterval);
        co_await timer.async_wait(kAwait);
      }
      auto [failed, written] =
          co_await asio::async_write(destination, asio::buffer(next.bytes), kAwait);
      if (failed) {
        relay->Close();
        break;
      }
    }
    boost::system::error_code ignored;
    destination.shutdown(tcp::socket::shutdown_send, ignored);
    if (relay->to_server.closed && relay->to_client.closed) self->open_connections_.erase(relay);
  }

  asio::io_context& context_;
  link_settings settings_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::set<std::shared_ptr<relayed_connection>> open_connections_;
  std::uint64_t bytes_to_servers_ = 0;
  std::uint64_t bytes_to_clients_ = 0;
  std::uint64_t accepted_connections_ = 0;
  bool cut_ = false;
  bool frozen_ = false;
};

link_stand_in::link_stand_in(asio::io_context& context, link_settings settings)
    : impl_(std::make_shared<impl>(context, std::move(settings))) {}

link_stand_in::~link_stand_in() = default;

result<done> link_stand_in::Listen() { return impl_->Listen(); }

asio::awaitable<http::response> link_stand_in::HandleControlRequest(http::request message) {
  co_return impl_->HandleControlRequest(message);
}

}  // namespace catkinmoor
