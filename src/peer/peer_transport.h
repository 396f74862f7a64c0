#pragma once

#include <boost/asio/awaitable.hpp>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "peer/messages.h"

namespace catkinmoor {

/// Sends messages to other daemons. Every call ends within its timeout; if no response arrived,
/// with an error that names the step and the peer.
class peer_client {
 public:
  virtual ~peer_client() = default;

  virtual boost::asio::awaitable<result<spread_reply>> Spread(endpoint, spread_request,
                                                              milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<probe_reply>> Probe(endpoint, probe_request,
                                                            milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<compare_reply>> Compare(endpoint, compare_request,
                                                                milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<transfer_reply>> Transfer(endpoint, transfer_request,
                                                                  milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<gather_reply>> Gather(endpoint, gather_request,
                                                              milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<fence_reply>> Fence(endpoint, fence_request,
                                                            milliseconds timeout) = 0;

  /// Transports without rollouts need not support these messages.
  virtual boost::asio::awaitable<result<rollout_report_reply>> ReportRollout(endpoint peer,
                                                                             rollout_report message,
                                                                             milliseconds timeout);
  virtual boost::asio::awaitable<result<confirm_reply>> Confirm(endpoint, confirm_request,
                                                                milliseconds timeout) = 0;
  virtual boost::asio::awaitable<result<permit_reply>> Permits(endpoint, permit_ask,
                                                               milliseconds timeout) = 0;
};

inline boost::asio::awaitable<result<rollout_report_reply>> peer_client::ReportRollout(
    endpoint peer, rollout_report, milliseconds) {
  co_return error{error_kind::kUnavailable, "report rollout", ToString(peer), "not supported"};
}

/// Handles the messages of other daemons.
class peer_service {
 public:
  virtual ~peer_service() = default;

  virtual boost::asio::awaitable<spread_reply> OnSpread(spread_request message) = 0;
  virtual boost::asio::awaitable<probe_reply> OnProbe(probe_request message) = 0;
  virtual boost::asio::awaitable<compare_reply> OnCompare(compare_request message) = 0;
  virtual boost::asio::awaitable<transfer_reply> OnTransfer(transfer_request message) = 0;
  virtual boost::asio::awaitable<gather_reply> OnGather(gather_request message) = 0;
  virtual boost::asio::awaitable<fence_reply> OnFence(fence_request message) = 0;
  virtual boost::asio::awaitable<rollout_report_reply> OnRolloutReport(rollout_report message) = 0;
  virtual boost::asio::awaitable<confirm_reply> OnConfirm(confirm_request message) = 0;
  virtual boost::asio::awaitable<permit_reply> OnPermits(permit_ask message) = 0;
};

}  // namespace catkinmoor
