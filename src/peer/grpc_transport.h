#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "framework/base/address_translation.h"
#include "peer/peer_transport.h"

namespace catkinmoor {

/// Total size of the encoded messages so far in bytes, without framing.
struct peer_traffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Sends messages over gRPC, with one channel for each peer in use. A channel on which a call
/// failed or timed out is dropped, so that the next call opens a new connection.
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
  boost::asio::awaitable<result<confirm_reply>> Confirm(endpoint, confirm_request,
                                                        milliseconds timeout) override;

  boost::asio::awaitable<result<rollout_report_reply>> ReportRollout(endpoint, rollout_report,
                                                                     milliseconds timeout) override;
  boost::asio::awaitable<result<permit_reply>> Permits(endpoint, permit_ask,
                                                       milliseconds timeout) override;

  /// Closes connections that have not been used for longer than the given age.
  void CloseIdle(milliseconds age);

  /// Bytes sent and received in calls of this client.
  peer_traffic Traffic() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Serves messages over gRPC by passing them to a peer_service on an io_context.
class grpc_peer_server {
 public:
  grpc_peer_server(boost::asio::io_context& context, peer_service& service);
  ~grpc_peer_server();

  /// Binds the address and starts serving. Fails with kUnavailable if the address is in use.
  result<done> Listen(const endpoint& address);

  /// Stops serving and waits for calls in progress; after a grace period they are cancelled. The
  /// io_context must still be running on another thread.
  void Stop();

  /// Bytes sent and received in calls to this server.
  peer_traffic Traffic() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace catkinmoor
