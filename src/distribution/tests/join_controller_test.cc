#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <map>

#include "distribution/join_controller.h"
#include "store/repository_source.h"
#include "store/stub/memory_platform.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::compare_reply;
using catkinmoor::compare_request;
using catkinmoor::distribution_dependencies;
using catkinmoor::endpoint;
using catkinmoor::error;
using catkinmoor::error_kind;
using catkinmoor::fence_reply;
using catkinmoor::fence_request;
using catkinmoor::gather_reply;
using catkinmoor::gather_request;
using catkinmoor::member_record;
using catkinmoor::milliseconds;
using catkinmoor::probe_reply;
using catkinmoor::probe_request;
using catkinmoor::result;
using catkinmoor::spread_reply;
using catkinmoor::spread_request;
using catkinmoor::transfer_reply;
using catkinmoor::transfer_request;

struct node;

/// Delivers messages directly to the node at an endpoint, on one thread.
class in_process_peers : public catkinmoor::peer_client {
 public:
  std::map<endpoint, node*> nodes;

  asio::awaitable<result<spread_reply>> Spread(endpoint, spread_request, milliseconds) override;
  asio::awaitable<result<probe_reply>> Probe(endpoint, probe_request, milliseconds) override;
  asio::awaitable<result<compare_reply>> Compare(endpoint, compare_request, milliseconds) override;
  asio::awaitable<result<transfer_reply>> Transfer(endpoint, transfer_request,
                                                   milliseconds) override;
  asio::awaitable<result<gather_reply>> Gather(endpoint, gather_request, milliseconds) override {
    co_return error{error_kind::kUnavailable, "gather", "", "not supported by this stub"};
  }
  asio::awaitable<result<fence_reply>> Fence(endpoint, fence_request, milliseconds) override {
    co_return error{error_kind::kUnavailable, "fence", "", "not supported by this stub"};
  }
};

member_record RecordOf(const std::string& vm, std::uint16_t port) {
  member_record record;
  record.vm = vm;
  record.region = "r";
  record.data_centre = "d";
  record.control = {"10.0.0.1", port};
  record.version = {1, 1, catkinmoor::member_state::kAlive};
  return record;
}

/// The distribution part of one daemon.
struct node {
  node(asio::io_context& context, catkinmoor::memory_platform& platform, in_process_peers& peers,
       const std::string& vm, std::uint16_t port)
      : self(RecordOf(vm, port)),
        strategy(catkinmoor::MakeSpreadStrategy("tree", 1)),
        exchange(context, deps, peers, *strategy, {}),
        repository(platform),
        documents_source(repository),
        source(context, deps, documents_source, exchange, *strategy, {}, 1),
        join(context, deps, platform, peers, exchange, source, {}, {}, 1) {
    peers.nodes[self.Get().control] = this;
  }

  catkinmoor::document_board documents;
  catkinmoor::member_table members;
  catkinmoor::self_record self;
  catkinmoor::quarantine_board quarantine;
  catkinmoor::metrics::registry metrics;
  distribution_dependencies deps{documents, members, self, quarantine, metrics};
  std::unique_ptr<catkinmoor::spread_strategy> strategy;
  catkinmoor::record_exchange exchange;
  catkinmoor::document_repository repository;
  catkinmoor::repository_source documents_source;
  catkinmoor::source_controller source;
  catkinmoor::join_controller join;
};

asio::awaitable<result<spread_reply>> in_process_peers::Spread(endpoint address,
                                                               spread_request message,
                                                               milliseconds) {
  spread_reply reply = co_await nodes.at(address)->exchange.OnSpread(std::move(message));
  co_return reply;
}
asio::awaitable<result<probe_reply>> in_process_peers::Probe(endpoint address, probe_request,
                                                             milliseconds) {
  node& peer = *nodes.at(address);
  co_return probe_reply{true, peer.exchange.DocumentHash(), peer.exchange.MemberHash()};
}
asio::awaitable<result<compare_reply>> in_process_peers::Compare(endpoint address,
                                                                 compare_request message,
                                                                 milliseconds) {
  compare_reply reply = co_await nodes.at(address)->exchange.OnCompare(std::move(message));
  co_return reply;
}
asio::awaitable<result<transfer_reply>> in_process_peers::Transfer(endpoint address,
                                                                   transfer_request message,
                                                                   milliseconds) {
  transfer_reply reply = co_await nodes.at(address)->exchange.OnTransfer(std::move(message));
  co_return reply;
}

}  // namespace

// A newcomer that reaches enough peers writes no rendezvous record, so nobody finds it unless it
// announces itself to those peers. They may be just as new and know no other member.
Test(join_controller, joining_through_peers_without_members_announces_itself_to_them) {
  asio::io_context context;
  catkinmoor::memory_platform platform;
  in_process_peers peers;
  std::deque<node> others;
  for (std::uint16_t i = 1; i <= 3; ++i) {
    others.emplace_back(context, platform, peers, "other-" + std::to_string(i), i);
    std::vector<catkinmoor::row_write> rows = {
        {"meet/r.new." + std::to_string(i),
         R"({"control":"10.0.0.1:)" + std::to_string(i) + R"(","data_centre":"d"})", std::nullopt}};
    asio::co_spawn(context, platform.Transact(std::move(rows)), asio::detached);
  }
  context.run();
  context.restart();
  node subject(context, platform, peers, "subject", 9);
  asio::co_spawn(context, subject.join.Join(), asio::detached);
  while (!subject.join.Ready() && context.run_one() > 0) {
  }
  for (const node& each : others) cr_assert(each.members.Find("subject") != nullptr);
}
