#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <map>
#include <set>

#include "distribution/join_controller.h"
#include "distribution/key_proof_controller.h"
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
  /// Vms that exchange no message with any other.
  std::set<std::string> isolated;

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
  boost::asio::awaitable<result<permit_reply>> Permits(endpoint, permit_ask,
                                                       milliseconds) override {
    co_return error{error_kind::kUnavailable, "permits", "", "not supported by this stub"};
  }

  boost::asio::awaitable<result<confirm_reply>> Confirm(endpoint, confirm_request,
                                                        milliseconds) override;

  /// Vms that take a query about keys and die before they answer it.
  std::set<std::string> dying;
  /// Time that the answer to such a query takes, whatever the timeout.
  milliseconds answer_delay{0};

  /// The node at an address, or null if a message of the sender does not reach it.
  node* Reach(const std::string& sender, const endpoint& address);
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

/// A source that one daemon may be refused while others read it, and whose answers may be delayed.
class gated_source : public document_source {
 public:
  explicit gated_source(document_source& source) : source_(source) {}

  boost::asio::awaitable<result<source_update>> FetchUpdate(std::uint64_t position,
                                                            milliseconds wait) override {
    ++reads;
    if (refused) co_return error{error_kind::kUnavailable, "read", "", "refused"};
    auto update = co_await source_.FetchUpdate(position, wait);
    if (answer_delay.count() > 0) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, answer_delay);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return update;
  }
  bool SupportsLongPolling() const override { return false; }

  bool refused = false;
  milliseconds answer_delay{0};
  int reads = 0;

 private:
  document_source& source_;
};

/// The distribution part of one daemon.
struct node {
  node(boost::asio::io_context& context, memory_platform& platform, in_process_peers& peers,
       const std::string& vm, std::uint16_t port)
      : node(context, platform, peers, RecordOf(vm, port), {}) {}

  node(boost::asio::io_context& context, memory_platform& platform, in_process_peers& peers,
       const member_record& record, const distribution_settings& settings)
      : self(record),
        freshness(settings.max_source_age),
        key_proofs(settings.key_revocation_bound),
        strategy(MakeSpreadStrategy("tree", 1)),
        exchange(context, deps, peers, *strategy, settings),
        repository(platform),
        documents_source(repository),
        gate(documents_source),
        source(context, deps, gate, exchange, *strategy, settings, record.control.port),
        join(context, deps, platform, peers, exchange, source, settings, {}, 1),
        key_proof(context, deps, peers, exchange, *strategy, record.control.port) {
    peers.nodes[self.Get().control] = this;
  }

  document_board documents;
  member_table members;
  self_record self;
  source_freshness freshness;
  quarantine_board quarantine;
  metrics::registry metrics;
  key_freshness key_proofs;
  distribution_dependencies deps{documents,  members, self,      freshness,
                                 quarantine, metrics, key_proofs};
  std::unique_ptr<spread_strategy> strategy;
  record_exchange exchange;
  document_repository repository;
  repository_source documents_source;
  gated_source gate;
  source_controller source;
  join_controller join;
  key_proof_controller key_proof;
};

inline node* in_process_peers::Reach(const std::string& sender, const endpoint& address) {
  const auto found = nodes.find(address);
  if (found == nodes.end() || isolated.contains(sender)) return nullptr;
  return isolated.contains(found->second->self.Get().vm) ? nullptr : found->second;
}

inline error Unreachable(const char* step) {
  return {error_kind::kUnavailable, step, "", "not reachable"};
}

inline boost::asio::awaitable<result<spread_reply>> in_process_peers::Spread(endpoint address,
                                                                             spread_request message,
                                                                             milliseconds) {
  if (++spread_messages > max_spread_messages) {
    co_return error{error_kind::kUnavailable, "spread", "", "more messages than the test allows"};
  }
  node* peer = Reach(message.sender, address);
  if (peer == nullptr) co_return Unreachable("spread");
  spread_reply reply = co_await peer->exchange.OnSpread(std::move(message));
  co_return reply;
}
inline boost::asio::awaitable<result<probe_reply>> in_process_peers::Probe(endpoint address,
                                                                           probe_request message,
                                                                           milliseconds) {
  node* peer = Reach(message.sender, address);
  if (peer == nullptr) co_return Unreachable("probe");
  co_return probe_reply{true, peer->exchange.DocumentHash(), peer->exchange.MemberHash()};
}
inline boost::asio::awaitable<result<compare_reply>> in_process_peers::Compare(
    endpoint address, compare_request message, milliseconds) {
  node* peer = Reach(message.sender, address);
  if (peer == nullptr) co_return Unreachable("compare");
  compare_reply reply = co_await peer->exchange.OnCompare(std::move(message));
  co_return reply;
}
inline boost::asio::awaitable<result<transfer_reply>> in_process_peers::Transfer(
    endpoint address, transfer_request message, milliseconds) {
  node* peer = Reach(message.sender, address);
  if (peer == nullptr) co_return Unreachable("transfer");
  transfer_reply reply = co_await peer->exchange.OnTransfer(std::move(message));
  co_return reply;
}
inline boost::asio::awaitable<result<confirm_reply>> in_process_peers::Confirm(
    endpoint address, confirm_request message, milliseconds timeout) {
  node* peer = Reach(message.sender, address);
  if (peer == nullptr) co_return Unreachable("confirm");
  if (dying.contains(message.recipient)) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, timeout);
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_return error{error_kind::kTimeout, "confirm", "", "no answer"};
  }
  confirm_reply reply = co_await peer->key_proof.OnConfirm(std::move(message));
  if (answer_delay.count() > 0) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, answer_delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  co_return reply;
}

}  // namespace catkinmoor::distribution_tests
