#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "framework/base/address_translation.h"
#include "peer/peer_transport.h"

namespace catkinmoor {

/// Bytes of encoded messages carried so far, framing left out.
struct peer_traffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Sends messages over gRPC, with one connection for each peer in use. A connection on which a call
/// failed or timed out is given up, so that the next call opens a new one.
class grpc_peer_client : public peer_client {
 public:
  explicit grpc_peer_client(address_translation translation = {});
  ~grpc_peer_client() override;

  boost::asio::awaitable<result<spread_reply>> Spread(endpoint, spread_request,
                                                      milliseconds timeout) override;
  boost::asio::awaitable<result<probe_reply>> Probe(endpoint, probe_request,
                                                    milliseconds timeout) override;
  boost::asio::awaitable<result<compare_reply>> Compare(endpoint, compare_request,
                                                        milliseconds timeout) override;
  boost::asio::awaitable<result<transfer_reply>> Transfer(endpoint, transfer_request,
                                                          milliseconds timeout) override;
  boost::asio::awaitable<result<gather_reply>> Gather(endpoint, gather_request,
                                                      milliseconds timeout) override;
  boost::asio::awaitable<result<fence_reply>> Fence(endpoint, fence_request,
                                                    milliseconds timeout) override;

  /// Closes connections that no call has used for a time.
  void CloseIdle(milliseconds age);

  /// Bytes carried by calls that this client made.
  peer_traffic Traffic() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Serves messages over gRPC by handing them to a peer_service on an io_context.
class grpc_peer_server {
 public:
  grpc_peer_server(boost::asio::io_context& context, peer_service& service);
  ~grpc_peer_server();

  /// Binds and starts to serve. Fails with kUnavailable when the address is taken.
  result<done> Listen(const endpoint& where);

  /// Ends calls that still run and stops serving. The io_context must still be running.
  void Stop();

  /// Bytes carried by calls that this server answered.
  peer_traffic Traffic() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace catkinmoor
