#include "daemon/daemon.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fstream>
#include <random>

#include "administration/administration_service.h"
#include "daemon/target_registration.h"
#include "distribution/join_controller.h"
#include "distribution/membership_controller.h"
#include "framework/base/digest.h"
#include "framework/http/client.h"
#include "framework/http/server.h"
#include "framework/logging/log.h"
#include "peer/grpc_transport.h"
#include "proxy/entry_proxy.h"
#include "proxy/gate_proxy.h"
#include "store/http_platform_client.h"
#include "store/repository_source.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr milliseconds kDrainPoll{20};
constexpr milliseconds kFarewell{300};
constexpr milliseconds kHousekeeping{10'000};
constexpr milliseconds kIdleConnection{20'000};
constexpr std::uint64_t kAdministrationBodyBytes = kDocumentBytes;

member_record FirstRecord(const daemon_settings& settings) {
  const auto at = [&](std::int64_t port) {
    return endpoint{settings.address, static_cast<std::uint16_t>(port)};
  };
  return {settings.vm,
          settings.region,
          settings.data_centre,
          at(settings.gate_port),
          at(settings.control_port),
          {WallMilliseconds(), 1, member_state::kAlive},
          std::nullopt};
}

std::vector<endpoint> Seeds(const daemon_settings& settings) {
  std::vector<endpoint> seeds;
  for (const std::string& each : settings.seed_peers) {
    auto parsed = ParseEndpoint(each);
    if (Ok(parsed)) seeds.push_back(Value(parsed));
  }
  return seeds;
}

proxy_settings TranslatedProxy(const daemon_settings& settings) {
  proxy_settings proxy = settings.proxy;
  proxy.translation = address_translation(settings.links);
  return proxy;
}

/// Resident memory of this process, in bytes.
double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(::getpagesize());
}

/// Processor time of this process, in seconds.
double ProcessorSeconds() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& of) {
    return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace

class catkinmoor_daemon::impl : public peer_service {
 public:
  impl(daemon_settings settings, daemon_edges edges)
      : settings_(std::move(settings)),
        edges_(std::move(edges)),
        translation_(settings_.links),
        self_(FirstRecord(settings_)),
        strategy_(MakeSpreadStrategy(settings_.distribution.strategy, seed_())),
        platform_(MakePlatform()),
        repository_(*platform_),
        documents_source_(MakeSource()),
        exchange_(control_, board_, peers_, *strategy_, settings_.distribution),
        membership_(control_, board_, peers_, exchange_, settings_.distribution, seed_()),
        source_(control_, board_, *documents_source_, exchange_, *strategy_, settings_.distribution,
                seed_()),
        join_(control_, board_, *platform_, peers_, exchange_, source_, settings_.distribution,
              Seeds(settings_), seed_()),
        status_(board_, peers_),
        workers_(static_cast<std::size_t>(settings_.workers)),
        entry_(workers_, {documents_, members_, self_, loads_, budget_, quarantine_, metrics_},
               peers_, TranslatedProxy(settings_)),
        gate_(workers_,
              {self_, ledger_, quarantine_, metrics_,
               [this](const std::string& fingerprint, const std::string& instance) {
                 asio::post(control_, [=, this] { StateCrash(fingerprint, instance); });
               },
               [this](const std::string& fingerprint) {
                 asio::post(control_, [=, this] { StateCleared(fingerprint); });
               },
               [this](const std::string& instance) {
                 asio::post(control_, [=, this] { target_.NoteUnreachable(instance); });
               }},
              settings_.proxy),
        target_(control_, self_, exchange_, gate_, settings_.target_lease),
        teams_(settings_.token_key, settings_.teams),
        administration_({board_, repository_, exchange_, status_, teams_,
                         [this] { return Ready(); }, [this] { BeginStop(); },
                         [this] { RefreshMetrics(); }}),
        administration_server_(
            control_, {.body_bytes = kAdministrationBodyBytes},
            [this](http::request message) { return administration_.Answer(std::move(message)); }),
        local_server_(control_, {},
                      [this](http::request message) { return Register(std::move(message)); }),
        readiness_server_(control_, {},
                          [this](http::request message) { return Readiness(std::move(message)); }),
        peer_server_(control_, *this),
        signals_(control_, SIGTERM, SIGINT),
        reload_signal_(control_, SIGHUP) {}

  result<done> Run() {
    for (const auto& bound : ListenAll()) {
      if (!Ok(bound)) return Failure(bound);
    }
    logging::Info("started", {{"vm", settings_.vm}, {"address", settings_.address}});
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (!failed) BeginStop();
    });
    exchange_.SetPastListener([this](const member_record& past) { target_.Recall(past); });
    AwaitReload();
    if (settings_.reload_check.count() > 0) {
      asio::co_spawn(control_, CheckForReload(), asio::detached);
    }
    asio::co_spawn(control_, Start(), asio::detached);
    control_.run();
    if (stopper_.joinable()) stopper_.join();
    workers_.Stop();
    return done{};
  }

  asio::awaitable<spread_reply> OnSpread(spread_request message) override {
    return exchange_.OnSpread(std::move(message));
  }
  asio::awaitable<probe_reply> OnProbe(probe_request message) override {
    return membership_.OnProbe(std::move(message));
  }
  asio::awaitable<compare_reply> OnCompare(compare_request message) override {
    return exchange_.OnCompare(std::move(message));
  }
  asio::awaitable<transfer_reply> OnTransfer(transfer_request message) override {
    return exchange_.OnTransfer(std::move(message));
  }
  asio::awaitable<gather_reply> OnGather(gather_request message) override {
    return status_.OnGather(std::move(message));
  }
  asio::awaitable<fence_reply> OnFence(fence_request message) override {
    co_return fence_reply{gate_.Fence(message)};
  }

 private:
  std::vector<result<done>> ListenAll() {
    const auto at = [&](std::int64_t port) {
      return endpoint{settings_.address, static_cast<std::uint16_t>(port)};
    };
    std::vector<result<done>> bound = {
        entry_.Listen(at(settings_.entry_port), entry_side::kCallers),
        gate_.Listen(at(settings_.gate_port)),
        administration_server_.Listen(at(settings_.administration_port)),
        local_server_.Listen(at(settings_.local_port)),
        peer_server_.Listen(at(settings_.control_port))};
    if (settings_.exit_port != 0) {
      bound.push_back(entry_.Listen(at(settings_.exit_port), entry_side::kTarget));
    }
    if (settings_.readiness_port != 0) {
      bound.push_back(readiness_server_.Listen(at(settings_.readiness_port)));
    }
    return bound;
  }

  std::unique_ptr<platform_client> MakePlatform() {
    if (edges_.make_platform) return edges_.make_platform(http_client_);
    return MakeHttpPlatformClient(http_client_, Value(ParseEndpoint(settings_.platform)),
                                  settings_.platform_timeout);
  }

  std::unique_ptr<document_source> MakeSource() {
    if (edges_.make_source) return edges_.make_source(http_client_);
    return std::make_unique<repository_source>(repository_);
  }

  asio::awaitable<http::reply> Register(http::request message) {
    if (edges_.answer_registration) return edges_.answer_registration(target_, std::move(message));
    return target_.Answer(std::move(message));
  }

  /// Whether requests can be served: joined, not stopping, and with a configuration where one
  /// document holds them all.
  bool Ready() const {
    const std::string& mesh = settings_.proxy.mesh_document;
    const bool configured = mesh.empty() || documents_.InForce(mesh) != nullptr;
    return join_.Ready() && configured && !stopping_;
  }

  asio::awaitable<http::reply> Readiness(http::request message) {
    if (message.Path() != settings_.readiness_path) co_return http::reply{404, {}, ""};
    co_return http::reply{Ready() ? 200U : 503U, {}, ""};
  }

  void AwaitReload() {
    reload_signal_.async_wait([this](const boost::system::error_code& failed, int) {
      if (failed) return;
      Reload("signal");
      AwaitReload();
    });
  }

  /// Looks for settings that changed without a signal.
  asio::awaitable<void> CheckForReload() {
    while (!stopping_) {
      reload_timer_.expires_after(settings_.reload_check);
      co_await reload_timer_.async_wait(kAwait);
      if (!stopping_) Reload("check");
    }
  }

  /// Reads the settings again and takes over what can change while the daemon runs.
  void Reload(const char* cause) {
    if (!edges_.read_settings) {
      logging::Info("reload", {{"cause", cause}, {"outcome", "no settings to read"}});
      return;
    }
    auto read = edges_.read_settings();
    if (const auto* problems = std::get_if<json::problems>(&read)) {
      logging::Warning("reload", {{"cause", cause},
                                  {"outcome", "refused, the present settings hold"},
                                  {"problems", json::Describe(*problems)}});
      return;
    }
    const auto& fresh = std::get<daemon_settings>(read);
    const bool checked = std::string_view(cause) == "check";
    const bool changed = PrintDaemonSettings(fresh) != PrintDaemonSettings(settings_);
    if (!changed && checked) return;
    join_.SetSeeds(Seeds(fresh));
    settings_.seed_peers = fresh.seed_peers;
    settings_.drain_notice = fresh.drain_notice;
    settings_.drain_timeout = fresh.drain_timeout;
    const bool whole = PrintDaemonSettings(fresh) == PrintDaemonSettings(settings_);
    logging::Info("reload", {{"cause", cause},
                             {"outcome", !changed ? "unchanged"
                                         : whole  ? "taken over"
                                                  : "taken over in part, the rest at a restart"}});
  }

  asio::awaitable<void> Start() {
    co_await join_.Join();
    if (stopping_) co_return;
    entry_.SetReady(true);
    asio::co_spawn(control_, membership_.Run(), asio::detached);
    asio::co_spawn(control_, source_.Run(), asio::detached);
    asio::co_spawn(control_, join_.KeepMeetingPoint(), asio::detached);
    asio::co_spawn(control_, Housekeep(), asio::detached);
    if (settings_.distribution.witness_wait.count() > 0) {
      asio::co_spawn(control_, EndWitnessWaits(), asio::detached);
    }
  }

  asio::awaitable<void> EndWitnessWaits() {
    while (!stopping_) {
      witness_timer_.expires_after(settings_.distribution.witness_wait);
      co_await witness_timer_.async_wait(kAwait);
      documents_.WitnessOlderThan(settings_.distribution.witness_wait, Now());
      budget_.SetDaemons(PresentMembers());
    }
  }

  std::size_t PresentMembers() const {
    std::size_t present = 0;
    for (const auto& [data_centre, members] : members_.View()->data_centres) {
      present += members.size();
    }
    return present;
  }

  /// Gives back what is no longer used. Joining alone opens a connection to every neighbour.
  asio::awaitable<void> Housekeep() {
    while (!stopping_) {
      housekeeping_.expires_after(kHousekeeping);
      co_await housekeeping_.async_wait(kAwait);
      peers_.CloseIdle(kIdleConnection);
      quarantine_.Expire(Now());
      ::malloc_trim(0);
    }
  }

  /// States a crash. Requests that were in flight together name the same crash, by the target's
  /// instance, so that it counts once.
  void StateCrash(const std::string& fingerprint, const std::string& instance) {
    logging::Warning("target crashed", {{"fingerprint", fingerprint}, {"instance", instance}});
    exchange_.StateCrash({fingerprint, settings_.vm, StableHash(instance), false});
  }

  void StateCleared(const std::string& fingerprint) {
    logging::Info("request cleared", {{"fingerprint", fingerprint}});
    exchange_.StateCrash({fingerprint, "cleared-" + RandomId(), 1, true});
  }

  void BeginStop() {
    if (stopping_.exchange(true)) return;
    logging::Info("stopping");
    asio::co_spawn(control_, StopGracefully(), asio::detached);
  }

  /// Says that it leaves, refuses new work, lets running work end, and says that it has left.
  asio::awaitable<void> StopGracefully() {
    asio::steady_timer timer(control_);
    target_.Withdraw();
    gate_.Drain();
    timer.expires_after(settings_.drain_notice);
    co_await timer.async_wait(kAwait);
    entry_.Drain();
    const time_point end = Now() + settings_.drain_timeout;
    while ((entry_.Active() > 0 || gate_.Active() > 0) && Now() < end) {
      timer.expires_after(kDrainPoll);
      co_await timer.async_wait(kAwait);
    }
    if (entry_.Active() > 0 || gate_.Active() > 0) logging::Warning("drain timed out");
    gate_.Close();
    self_.Update([](member_record& record) {
      record.version.state = member_state::kLeft;
      record.target.reset();
    });
    exchange_.StateSelf();
    timer.expires_after(kFarewell);
    co_await timer.async_wait(kAwait);
    reload_signal_.cancel();
    witness_timer_.cancel();
    reload_timer_.cancel();
    membership_.Stop();
    source_.Stop();
    join_.Stop();
    target_.Stop();
    housekeeping_.cancel();
    administration_server_.Stop();
    local_server_.Stop();
    readiness_server_.Stop();
    // The server waits for its calls, which this thread would have to finish.
    stopper_ = std::thread([this] {
      peer_server_.Stop();
      control_.stop();
    });
  }

  void RefreshMetrics() {
    const peer_traffic out = peers_.Traffic();
    const peer_traffic in = peer_server_.Traffic();
    const auto total = [](std::uint64_t left, std::uint64_t right) {
      return static_cast<double>(left + right);
    };
    metrics_.Set("catkinmoor_control_sent_bytes", total(out.sent, in.sent));
    metrics_.Set("catkinmoor_control_received_bytes", total(out.received, in.received));
    metrics_.Set("catkinmoor_source_bytes", static_cast<double>(http_client_.BytesCarried()));
    metrics_.Set("catkinmoor_members", static_cast<double>(members_.View()->all.size()));
    metrics_.Set("catkinmoor_ledger_entries", static_cast<double>(ledger_.Size()));
    metrics_.Set("catkinmoor_resident_bytes", ResidentBytes());
    metrics_.Set("catkinmoor_processor_seconds", ProcessorSeconds());
    metrics_.Set("catkinmoor_ready", join_.Ready() ? 1 : 0);
  }

  daemon_settings settings_;
  daemon_edges edges_;
  address_translation translation_;
  std::random_device seed_;
  asio::io_context control_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_{control_.get_executor()};
  metrics::registry metrics_;
  document_board documents_;
  member_table members_;
  self_record self_;
  load_board loads_;
  retry_budget budget_;
  request_ledger ledger_;
  quarantine_board quarantine_;
  distribution_board board_{documents_, members_, self_, quarantine_, metrics_};
  std::unique_ptr<spread_strategy> strategy_;
  http::client http_client_{translation_};
  std::unique_ptr<platform_client> platform_;
  document_repository repository_;
  std::unique_ptr<document_source> documents_source_;
  grpc_peer_client peers_{translation_};
  record_exchange exchange_;
  membership_controller membership_;
  source_controller source_;
  join_controller join_;
  status_controller status_;
  worker_pool workers_;
  entry_proxy entry_;
  gate_proxy gate_;
  target_registration target_;
  team_registry teams_;
  administration_service administration_;
  http::server administration_server_;
  http::server local_server_;
  http::server readiness_server_;
  grpc_peer_server peer_server_;
  asio::signal_set signals_;
  asio::signal_set reload_signal_;
  asio::steady_timer witness_timer_{control_};
  asio::steady_timer reload_timer_{control_};
  asio::steady_timer housekeeping_{control_};
  std::thread stopper_;
  std::atomic<bool> stopping_ = false;
};

catkinmoor_daemon::catkinmoor_daemon(daemon_settings settings, daemon_edges edges)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(edges))) {}

catkinmoor_daemon::~catkinmoor_daemon() = default;

result<done> catkinmoor_daemon::Run() { return impl_->Run(); }

}  // namespace catkinmoor
