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
constexpr std::size_t kQueuedBlocks = 64;
constexpr milliseconds kLook{10};

/// Bytes under way in one direction.
struct block {
  time_point due;
  std::vector<char> bytes;
};

/// One direction of a connection.
struct direction {
  explicit direction(asio::io_context& context) : arrived(context), room(context) {
    arrived.expires_at(time_point::max());
    room.expires_at(time_point::max());
  }
  std::deque<block> blocks;
  bool ended = false;
  asio::steady_timer arrived;
  asio::steady_timer room;
};

/// A connection through the link.
struct pair_of_sockets {
  pair_of_sockets(asio::io_context& context, tcp::socket from)
      : near(std::move(from)), far(context), outward(context), homeward(context) {}
  tcp::socket near;
  tcp::socket far;
  direction outward;
  direction homeward;
  bool silent = false;

  void Close() {
    boost::system::error_code ignored;
    near.close(ignored);
    far.close(ignored);
    for (direction* each : {&outward, &homeward}) {
      each->ended = true;
      each->arrived.cancel();
      each->room.cancel();
    }
  }
};

}  // namespace

class link_stand_in::impl : public std::enable_shared_from_this<link_stand_in::impl> {
 public:
  impl(asio::io_context& context, link_settings settings)
      : context_(context), settings_(std::move(settings)) {}

  result<done> Listen() {
    for (const std::uint16_t port : settings_.ports) {
      const auto shifted = static_cast<std::uint16_t>(port + settings_.port_offset);
      auto acceptor = std::make_unique<tcp::acceptor>(context_);
      boost::system::error_code failed;
      acceptor->open(tcp::v4(), failed);
      if (!failed) acceptor->set_option(asio::socket_base::reuse_address(true), failed);
      if (!failed) acceptor->bind({asio::ip::address_v4::any(), shifted}, failed);
      if (!failed) acceptor->listen(asio::socket_base::max_listen_connections, failed);
      if (failed) {
        return error{error_kind::kUnavailable, "listen", std::to_string(shifted), failed.message()};
      }
      acceptors_.push_back(std::move(acceptor));
      asio::co_spawn(context_, Accept(*acceptors_.back(), port), asio::detached);
    }
    return done{};
  }

  http::reply Control(const http::request& message) {
    if (message.Path() == "/control/cut") {
      cut_ = true;
      for (const auto& each : open_) each->Close();
    }
    if (message.Path() == "/control/freeze") frozen_ = true;
    if (message.Path() == "/control/silence") {
      for (const auto& each : open_) each->silent = true;
    }
    if (message.Path() == "/control/heal") cut_ = frozen_ = false;
    const boost::json::object body{{"bytes_out", bytes_out_},
                                   {"bytes_home", bytes_home_},
                                   {"connections", connections_},
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
      ++connections_;
      auto both = std::make_shared<pair_of_sockets>(context_, std::move(socket));
      asio::co_spawn(context_, Carry(self, both, port), asio::detached);
    }
  }

  /// Opens the far side one round trip later, and carries bytes both ways until an end.
  static asio::awaitable<void> Carry(std::shared_ptr<impl> self,
                                     std::shared_ptr<pair_of_sockets> both, std::uint16_t port) {
    boost::system::error_code ignored;
    const auto aimed_at = both->near.local_endpoint(ignored).address();
    asio::steady_timer timer(self->context_, self->settings_.delay * 2);
    co_await timer.async_wait(kAwait);
    auto [failed] = co_await both->far.async_connect({aimed_at, port}, kAwait);
    if (failed || self->cut_) {
      both->Close();
      co_return;
    }
    both->near.set_option(tcp::no_delay(true), ignored);
    both->far.set_option(tcp::no_delay(true), ignored);
    self->open_.insert(both);
    asio::co_spawn(self->context_, Read(self, both, both->near, both->outward, self->bytes_out_),
                   asio::detached);
    asio::co_spawn(self->context_, Read(self, both, both->far, both->homeward, self->bytes_home_),
                   asio::detached);
    asio::co_spawn(self->context_, Write(self, both, both->far, both->outward), asio::detached);
    asio::co_spawn(self->context_, Write(self, both, both->near, both->homeward), asio::detached);
  }

  static asio::awaitable<void> Read(std::shared_ptr<impl> self,
                                    std::shared_ptr<pair_of_sockets> both, tcp::socket& from,
                                    direction& way, std::uint64_t& count) {
    while (!way.ended) {
      std::vector<char> bytes(kBlockBytes);
      auto [failed, got] = co_await from.async_read_some(asio::buffer(bytes), kAwait);
      if (failed) break;
      if (both->silent) continue;
      bytes.resize(got);
      count += got;
      way.blocks.push_back({Now() + self->settings_.delay, std::move(bytes)});
      way.arrived.cancel();
      while (way.blocks.size() > kQueuedBlocks && !way.ended) {
        co_await way.room.async_wait(kAwait);
      }
    }
    way.ended = true;
    way.arrived.cancel();
  }

  static asio::awaitable<void> Write(std::shared_ptr<impl> self,
                                     std::shared_ptr<pair_of_sockets> both, tcp::socket& to,
                                     direction& way) {
    asio::steady_timer timer(self->context_);
    for (;;) {
      while (way.blocks.empty() && !way.ended) {
        co_await way.arrived.async_wait(kAwait);
      }
      if (way.blocks.empty()) break;
      const block next = std::move(way.blocks.front());
      way.blocks.pop_front();
      way.room.cancel();
      timer.expires_at(next.due);
      co_await timer.async_wait(kAwait);
      while (self->frozen_) {
        timer.expires_after(kLook);
        co_await timer.async_wait(kAwait);
      }
      auto [failed, count] = co_await asio::async_write(to, asio::buffer(next.bytes), kAwait);
      if (failed) {
        both->Close();
        break;
      }
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (both->outward.ended && both->homeward.ended) self->open_.erase(both);
  }

  asio::io_context& context_;
  link_settings settings_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::set<std::shared_ptr<pair_of_sockets>> open_;
  std::uint64_t bytes_out_ = 0;
  std::uint64_t bytes_home_ = 0;
  std::uint64_t connections_ = 0;
  bool cut_ = false;
  bool frozen_ = false;
};

link_stand_in::link_stand_in(asio::io_context& context, link_settings settings)
    : impl_(std::make_shared<impl>(context, std::move(settings))) {}

link_stand_in::~link_stand_in() = default;

result<done> link_stand_in::Listen() { return impl_->Listen(); }

asio::awaitable<http::reply> link_stand_in::Control(http::request message) {
  co_return impl_->Control(message);
}

}  // namespace catkinmoor
