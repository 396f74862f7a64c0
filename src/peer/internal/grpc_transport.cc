#include "peer/grpc_transport.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "framework/base/sharded_map.h"
#include "peer/generated/peer.grpc.pb.h"
#include "peer/internal/convert.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
using peer_internal::FromWire;
using peer_internal::ToWire;

constexpr int kMinBackoffMs = 100;
constexpr int kMaxBackoffMs = 1'000;
constexpr milliseconds kShutdownGracePeriod{200};

grpc::ChannelArguments ChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // With the global pool, the next channel for the same peer would reuse the dropped connection.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  return arguments;
}

/// Awaits the end of a gRPC call without blocking a thread.
template <typename Start>
asio::awaitable<grpc::Status> AwaitStatus(Start start) {
  return asio::async_initiate<const asio::use_awaitable_t<>, void(grpc::Status)>(
      [start = std::move(start)](auto handler) mutable {
        auto executor = asio::get_associated_executor(handler);
        auto work_guard = asio::make_work_guard(executor);
        auto shared_handler = std::make_shared<decltype(handler)>(std::move(handler));
        start([shared_handler, work_guard, executor](grpc::Status status) mutable {
          asio::post(executor, [shared_handler, work_guard, status = std::move(status)]() mutable {
            std::move (*shared_handler)(std::move(status));
          });
        });
      },
      asio::use_awaitable);
}

error ErrorFromStatus(const grpc::Status& status, const char* step, const std::string& peer) {
  const bool timed_out = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
  return {timed_out ? error_kind::kTimeout : error_kind::kUnavailable, step, peer,
          status.error_message()};
}

}  // namespace

struct grpc_peer_client::state {
  struct channel_entry {
    std::shared_ptr<wire::PeerService::Stub> stub;
    time_point last_used;
  };
  sharded_map<std::string, channel_entry> channels;
  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> received = 0;
  address_translation translation;

  std::shared_ptr<wire::PeerService::Stub> StubFor(const std::string& peer) {
    const time_point now = Now();
    return channels.WithShard(peer, [&](auto& entries) {
      channel_entry& entry = entries[peer];
      if (entry.stub == nullptr) {
        entry.stub = wire::PeerService::NewStub(grpc::CreateCustomChannel(
            "ipv4:" + peer, grpc::InsecureChannelCredentials(), ChannelArguments()));
      }
      entry.last_used = now;
      return entry.stub;
    });
  }

  void DropChannel(const std::string& peer, const std::shared_ptr<wire::PeerService::Stub>& stub) {
    channels.WithShard(peer, [&](auto& entries) {
      const auto found = entries.find(peer);
      if (found != entries.end() && found->second.stub == stub) entries.erase(found);
      return 0;
    });
  }

  /// Makes one call. `method` starts it on the asynchronous interface of the stub.
  template <typename WireReply, typename Reply, typename WireRequest, typename Request,
            typename Method>
  asio::awaitable<result<Reply>> Call(const char* step, endpoint address, Request message,
                                      milliseconds timeout, Method method) {
    const std::string peer = ToString(translation.Translate(address));
    const auto stub = StubFor(peer);
    auto context = std::make_shared<grpc::ClientContext>();
    context->set_deadline(std::chrono::system_clock::now() + timeout);
    auto request = std::make_shared<WireRequest>();
    auto reply = std::make_shared<WireReply>();
    ToWire(message, *request);
    sent += request->ByteSizeLong();
    // The lambda needs a name, because the compiler destroys the captures of a lambda that
    // is written inside a co_await expression twice. This coroutine frame keeps the objects that
    // the lambda refers to alive until the call has ended.
    auto start = [&](auto on_done) {
      method(stub.get(), context.get(), request.get(), reply.get(), std::move(on_done));
    };
    const grpc::Status status = co_await AwaitStatus(std::move(start));
    if (!status.ok()) {
      DropChannel(peer, stub);
      co_return ErrorFromStatus(status, step, peer);
    }
    received += reply->ByteSizeLong();
    Reply response;
    FromWire(*reply, response);
    co_return response;
  }
};

grpc_peer_client::grpc_peer_client(address_translation translation)
    : state_(std::make_unique<state>()) {
  state_->translation = std::move(translation);
}

grpc_peer_client::~grpc_peer_client() = default;

void grpc_peer_client::CloseIdle(milliseconds age) {
  const time_point oldest = Now() - age;
  std::vector<std::shared_ptr<wire::PeerService::Stub>> closed;
  state_->channels.ForEachShard([&](auto& entries) {
    for (auto next = entries.begin(); next != entries.end();) {
      if (next->second.last_used >= oldest) {
        ++next;
        continue;
      }
      closed.push_back(std::move(next->second.stub));
      next = entries.erase(next);
    }
  });
  // The stubs are released here, outside the locks. A call in progress keeps its own reference.
}

peer_traffic grpc_peer_client::Traffic() const { return {state_->sent, state_->received}; }

asio::awaitable<result<spread_reply>> grpc_peer_client::Spread(endpoint address,
                                                               spread_request message,
                                                               milliseconds timeout) {
  return state_->Call<wire::SpreadReply, spread_reply, wire::SpreadRequest>(
      "spread", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Spread(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<probe_reply>> grpc_peer_client::Probe(endpoint address,
                                                             probe_request message,
                                                             milliseconds timeout) {
  return state_->Call<wire::ProbeReply, probe_reply, wire::ProbeRequest>(
      "probe", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Probe(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<compare_reply>> grpc_peer_client::Compare(endpoint address,
                                                                 compare_request message,
                                                                 milliseconds timeout) {
  return state_->Call<wire::CompareReply, compare_reply, wire::CompareRequest>(
      "compare", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Compare(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<transfer_reply>> grpc_peer_client::Transfer(endpoint address,
                                                                   transfer_request message,
                                                                   milliseconds timeout) {
  return state_->Call<wire::TransferReply, transfer_reply, wire::TransferRequest>(
      "transfer", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Transfer(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<gather_reply>> grpc_peer_client::Gather(endpoint address,
                                                               gather_request message,
                                                               milliseconds timeout) {
  return state_->Call<wire::GatherReply, gather_reply, wire::GatherRequest>(
      "gather", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Gather(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<fence_reply>> grpc_peer_client::Fence(endpoint address,
                                                             fence_request message,
                                                             milliseconds timeout) {
  return state_->Call<wire::FenceReply, fence_reply, wire::FenceRequest>(
      "fence", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Fence(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<rollout_report_reply>> grpc_peer_client::ReportRollout(
    endpoint address, rollout_report message, milliseconds timeout) {
  return state_->Call<wire::RolloutReportReply, rollout_report_reply, wire::RolloutReport>(
      "report rollout", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->ReportRollout(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<confirm_reply>> grpc_peer_client::Confirm(endpoint address,
                                                                 confirm_request message,
                                                                 milliseconds timeout) {
  return state_->Call<wire::ConfirmReply, confirm_reply, wire::ConfirmRequest>(
      "confirm", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Confirm(context, request, reply, std::move(on_done));
      });
}

asio::awaitable<result<permit_reply>> grpc_peer_client::Permits(endpoint address,
                                                                permit_ask message,
                                                                milliseconds timeout) {
  return state_->Call<wire::PermitsReply, permit_reply, wire::PermitsRequest>(
      "permits", std::move(address), std::move(message), timeout,
      [](auto* stub, auto* context, auto* request, auto* reply, auto on_done) {
        stub->async()->Permits(context, request, reply, std::move(on_done));
      });
}

struct grpc_peer_server::state : wire::PeerService::CallbackService {
  state(asio::io_context& io, peer_service& handler) : context(io), service(handler) {}

  asio::io_context& context;
  peer_service& service;
  std::unique_ptr<grpc::Server> server;
  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> received = 0;

  /// Runs a handler on the io_context and finishes the call with its reply.
  template <typename Request, typename Reply, typename WireRequest, typename WireReply>
  grpc::ServerUnaryReactor* Serve(grpc::CallbackServerContext* call, const WireRequest* request,
                                  WireReply* reply,
                                  asio::awaitable<Reply> (peer_service::*method)(Request)) {
    grpc::ServerUnaryReactor* reactor = call->DefaultReactor();
    received += request->ByteSizeLong();
    Request message;
    FromWire(*request, message);
    asio::co_spawn(
        context, (service.*method)(std::move(message)),
        [this, reactor, reply](const std::exception_ptr& failed, const Reply& response) {
          if (failed) {
            reactor->Finish({grpc::StatusCode::INTERNAL, "the message handler threw an exception"});
            return;
          }
          ToWire(response, *reply);
          sent += reply->ByteSizeLong();
          reactor->Finish(grpc::Status::OK);
        });
    return reactor;
  }

  grpc::ServerUnaryReactor* Spread(grpc::CallbackServerContext* call,
                                   const wire::SpreadRequest* request,
                                   wire::SpreadReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnSpread);
  }
  grpc::ServerUnaryReactor* ReportRollout(grpc::CallbackServerContext* call,
                                          const wire::RolloutReport* request,
                                          wire::RolloutReportReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnRolloutReport);
  }
  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* call,
                                  const wire::ProbeRequest* request,
                                  wire::ProbeReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnProbe);
  }
  grpc::ServerUnaryReactor* Compare(grpc::CallbackServerContext* call,
                                    const wire::CompareRequest* request,
                                    wire::CompareReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnCompare);
  }
  grpc::ServerUnaryReactor* Transfer(grpc::CallbackServerContext* call,
                                     const wire::TransferRequest* request,
                                     wire::TransferReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnTransfer);
  }
  grpc::ServerUnaryReactor* Gather(grpc::CallbackServerContext* call,
                                   const wire::GatherRequest* request,
                                   wire::GatherReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnGather);
  }
  grpc::ServerUnaryReactor* Fence(grpc::CallbackServerContext* call,
                                  const wire::FenceRequest* request,
                                  wire::FenceReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnFence);
  }
  grpc::ServerUnaryReactor* Confirm(grpc::CallbackServerContext* call,
                                    const wire::ConfirmRequest* request,
                                    wire::ConfirmReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnConfirm);
  }
  grpc::ServerUnaryReactor* Permits(grpc::CallbackServerContext* call,
                                    const wire::PermitsRequest* request,
                                    wire::PermitsReply* reply) override {
    return Serve(call, request, reply, &peer_service::OnPermits);
  }
};

grpc_peer_server::grpc_peer_server(asio::io_context& context, peer_service& service)
    : state_(std::make_unique<state>(context, service)) {}

grpc_peer_server::~grpc_peer_server() { Stop(); }

peer_traffic grpc_peer_server::Traffic() const { return {state_->sent, state_->received}; }

result<done> grpc_peer_server::Listen(const endpoint& address) {
  const std::string address_text = ToString(address);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address_text, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(state_.get());
  state_->server = builder.BuildAndStart();
  if (state_->server == nullptr || port == 0) {
    return error{error_kind::kUnavailable, "listen", address_text, "cannot bind the address"};
  }
  return done{};
}

void grpc_peer_server::Stop() {
  if (state_->server == nullptr) return;
  state_->server->Shutdown(std::chrono::system_clock::now() + kShutdownGracePeriod);
  state_->server->Wait();
  state_->server.reset();
}

}  // namespace catkinmoor
