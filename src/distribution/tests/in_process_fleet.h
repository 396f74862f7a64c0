#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <map>

#include "distribution/join_controller.h"
#include "store/repository_source.h"
#include "store/stub/memory_platform.h"

namespace catkinmoor::distribution_tests {

struct node;

/// Delivers messages directly to the node at an endpoint, on one thread.
class in_process_peers : public peer_client {
 public:
  std::map<endpoint, node*> nodes;
  int spread_messages = 0;
  int max_spread_messages = 1'000;

  boost::asio::awaitable<result<spread_reply>> Spread(endpoint, spread_request,
                                                      milliseconds) override;
  boost::asio::awaitable<result<probe_reply>> Probe(endpoint, probe_request, milliseconds) override;
  boost::asio::awaitable<result<compare_reply>> Compare(endpoint, compare_request,
                                                        milliseconds) override;
  boost::asio::awaitable<result<transfer_reply>> Transfer(endpoint, transfer_request,
                                                          milliseconds) override;
  boost::asio::awaitable<result<gather_reply>> Gather(endpoint, gather_request,
                                                      milliseconds) override {
    co_return error{error_kind::kUnavailable, "gather", "", "not supported by this stub"};
  }
  boost::asio::awaitable<result<fence_reply>> Fence(endpoint, fence_request,
                                                    milliseconds) override {
    co_return error{error_kind::kUnavailable, "fence", "", "not supported by this stub"};
  }
};

inline member_record RecordOf(const std::string& vm, std::uint16_t port) {
  member_record record;
  record.vm = vm;
  record.region = "r";
  record.data_centre = "d";
  record.control = {"10.0.0.1", port};
  record.version = {1, 1, member_state::kAlive};
  return record;
}

/// The distribution part of one daemon.
struct node {
  node(boost::asio::io_context& context, memory_platform& platform, in_process_peers& peers,
       const std::string& vm, std::uint16_t port)
      : self(RecordOf(vm, port)),
        strategy(MakeSpreadStrategy("tree", 1)),
        exchange(context, deps, peers, *strategy, {}),
        repository(platform),
        documents_source(repository),
        source(context, deps, documents_source, exchange, *strategy, {}, 1),
        join(context, deps, platform, peers, exchange, source, {}, {}, 1) {
    peers.nodes[self.Get().control] = this;
  }

  document_board documents;
  member_table members;
  self_record self;
  quarantine_board quarantine;
  metrics::registry metrics;
  distribution_dependencies deps{documents, members, self, quarantine, metrics};
  std::unique_ptr<spread_strategy> strategy;
  record_exchange exchange;
  document_repository repository;
  repository_source documents_source;
  source_controller source;
  join_controller join;
};

inline boost::asio::awaitable<result<spread_reply>> in_process_peers::Spread(endpoint address,
                                                                             spread_request message,
                                                                             milliseconds) {
  if (++spread_messages > max_spread_messages) {
    co_return error{error_kind::kUnavailable, "spread", "", "more messages than the test allows"};
  }
  spread_reply reply = co_await nodes.at(address)->exchange.OnSpread(std::move(message));
  co_return reply;
}
inline boost::asio::awaitable<result<probe_reply>> in_process_peers::Probe(endpoint address,
                                                                           probe_request,
                                                                           milliseconds) {
  node& peer = *nodes.at(address);
  co_return probe_reply{true, peer.exchange.DocumentHash(), peer.exchange.MemberHash()};
}
inline boost::asio::awaitable<result<compare_reply>> in_process_peers::Compare(
    endpoint address, compare_request message, milliseconds) {
  compare_reply reply = co_await nodes.at(address)->exchange.OnCompare(std::move(message));
  co_return reply;
}
inline boost::asio::awaitable<result<transfer_reply>> in_process_peers::Transfer(
    endpoint address, transfer_request message, milliseconds) {
  transfer_reply reply = co_await nodes.at(address)->exchange.OnTransfer(std::move(message));
  co_return reply;
}

}  // namespace catkinmoor::distribution_tests
