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
#include "daemon/process_limits.h"
#include "daemon/stop_schedule.h"
#include "daemon/target_registration.h"
#include "distribution/join_controller.h"
#include "distribution/key_proof_controller.h"
#include "distribution/membership_controller.h"
#include "distribution/rollout_controller.h"
#include "distribution/quota_controller.h"
#include "framework/base/build_info.h"
#include "framework/base/digest.h"
#include "framework/http/client.h"
#include "framework/http/server.h"
#include "framework/logging/log.h"
#include "peer/grpc_transport.h"
#include "proxy/entry_proxy.h"
#include "proxy/gate_proxy.h"
#include "framework/base/clock.h"
#include "store/http_platform_client.h"
#include "store/repository_source.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr milliseconds kDrainPollInterval{20};
constexpr milliseconds kCleanupInterval{10'000};
constexpr milliseconds kIdleConnectionTimeout{20'000};
/// Time over which the daemons spread their writes after the store was restored.
constexpr milliseconds kMaxRewriteDelay{1'500};
constexpr std::uint64_t kMaxAdministrationBodyBytes = kMaxDocumentBytes;

member_record InitialRecord(const daemon_settings& settings) {
  const auto endpoint_at = [&](std::int64_t port) {
    return endpoint{settings.address, static_cast<std::uint16_t>(port)};
  };
  return {settings.vm,
          settings.region,
          settings.data_centre,
          endpoint_at(settings.gate_port),
          endpoint_at(settings.control_port),
          {UnixMilliseconds(), 1, member_state::kAlive},
          std::nullopt,
          std::nullopt,
          BuildName(ThisBuild())};
}

std::vector<endpoint> SeedEndpoints(const daemon_settings& settings) {
  std::vector<endpoint> seeds;
  for (const std::string& each : settings.seed_peers) {
    auto parsed = ParseEndpoint(each);
    if (Ok(parsed)) seeds.push_back(Value(parsed));
  }
  return seeds;
}

/// What callers may take up, by the settings or else by what the process may use.
budget_limits CallerLimits(const daemon_settings& settings) {
  const std::int64_t memory_mb = settings.memory_mb > 0 ? settings.memory_mb : MemoryLimitMb();
  const std::int64_t descriptors =
      settings.max_descriptors > 0 ? settings.max_descriptors : RaiseDescriptorLimit();
  return LimitsOfProcess(memory_mb, descriptors);
}

proxy_settings MakeProxySettings(const daemon_settings& settings) {
  proxy_settings proxy = settings.proxy;
  proxy.translation = address_translation(settings.translation_rules);
  return proxy;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(::getpagesize());
}

double ProcessorSeconds() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace

class catkinmoor_daemon::impl : public peer_service {
 public:
  impl(daemon_settings settings, daemon_hooks hooks)
      : settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        translation_(settings_.translation_rules),
        self_(InitialRecord(settings_)),
        strategy_(MakeSpreadStrategy(settings_.distribution.strategy, random_device_())),
        platform_(MakePlatform()),
        repository_(*platform_),
        document_source_(MakeSource()),
        exchange_(control_context_, deps_, peers_, *strategy_, settings_.distribution),
        membership_(control_context_, deps_, peers_, exchange_, settings_.distribution,
                    random_device_()),
        source_(control_context_, deps_, *document_source_, exchange_, *strategy_,
                settings_.distribution, random_device_()),
        rollout_status_(hooks_.make_rollout_status ? hooks_.make_rollout_status(http_client_, era_)
                                                   : nullptr),
        rollout_(control_context_, deps_, peers_, exchange_,
                 {rollouts_, versions_, *platform_, rollout_status_.get(), settings_.rollout}),
        join_(control_context_, deps_, *platform_, peers_, exchange_, source_,
              settings_.distribution, SeedEndpoints(settings_), random_device_()),
        key_proof_(control_context_, deps_, peers_, exchange_, *strategy_, random_device_()),
        status_(deps_, peers_),
        quotas_(control_context_, {documents_, members_, peers_, *platform_, metrics_, era_},
                {settings_.vm, self_.Get().version.incarnation, settings_.processor_share,
                 settings_.proxy.mesh_document, ToString(self_.Get().control)},
                settings_.quota),
        workers_(static_cast<std::size_t>(settings_.workers)),
        entry_(workers_,
               {documents_, members_, self_, loads_, budget_, quarantine_, metrics_, key_proofs_,
                &versions_, &quotas_, connection_budget_},
               peers_, MakeProxySettings(settings_)),
        gate_(workers_,
              {self_, ledger_, quarantine_, metrics_,
               [this](const std::string& fingerprint, const std::string& instance) {
                 asio::post(control_context_, [=, this] { ReportCrash(fingerprint, instance); });
               },
               [this](const std::string& fingerprint) {
                 asio::post(control_context_, [=, this] { ReportCleared(fingerprint); });
               },
               [this](const std::string& instance) {
                 asio::post(control_context_, [=, this] { target_.MarkUnreachable(instance); });
               },
               [this](const std::string& instance) {
                 asio::post(control_context_, [=, this] { target_.MarkLeaving(instance); });
               },
               connection_budget_},
              settings_.proxy),
        departures_(control_context_, *platform_, settings_.vm),
        target_(control_context_, self_, exchange_, gate_, departures_, settings_.target_lease),
        teams_(settings_.token_key, settings_.teams),
        administration_({deps_, repository_, exchange_, status_, teams_, [this] { return Ready(); },
                         [this] { BeginStop(); }, [this] { RefreshMetrics(); },
                         [this] { return rollout_.View(); }}),
        administration_server_(
            control_context_, {.body_bytes = kMaxAdministrationBodyBytes},
            [this](http::request message) { return administration_.Handle(std::move(message)); }),
        local_server_(
            control_context_, {},
            [this](http::request message) { return HandleRegistration(std::move(message)); }),
        readiness_server_(
            control_context_, {},
            [this](http::request message) { return HandleReadiness(std::move(message)); }),
        peer_server_(control_context_, *this),
        signals_(control_context_, SIGTERM, SIGINT),
        reload_signal_(control_context_, SIGHUP) {}

  result<done> Run() {
    logging::Info("daemon starting", {{"vm", settings_.vm},
                                      {"version", ThisBuild().version},
                                      {"sources", ThisBuild().sources},
                                      {"machine", ThisBuild().machine}});
    for (const auto& listen_result : ListenAll()) {
      if (!Ok(listen_result)) return Failure(listen_result);
    }
    logging::Info("daemon started", {{"vm", settings_.vm}, {"address", settings_.address}});
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (!failed) BeginStop();
    });
    exchange_.SetStaleSelfListener(
        [this](const member_record& past) { target_.RestoreDeparture(past); });
    era_.SetListener([this](std::uint64_t previous, std::uint64_t current) {
      asio::post(control_context_, [=, this] { OnStoreRestored(previous, current); });
    });
    source_.SetOrderListener(
        [this](const rollout_order& order, spread_range range) { rollout_.OnOrder(order, range); });
    AwaitReloadSignal();
    if (settings_.reload_check_interval.count() > 0) {
      asio::co_spawn(control_context_, PollForReload(), asio::detached);
    }
    asio::co_spawn(control_context_, target_.RestoreDepartures([this] { return join_.Ready(); }),
                   asio::detached);
    asio::co_spawn(control_context_, Start(), asio::detached);
    control_context_.run();
    if (shutdown_thread_.joinable()) shutdown_thread_.join();
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
  asio::awaitable<rollout_report_reply> OnRolloutReport(rollout_report message) override {
    return rollout_.OnReport(std::move(message));
  }
  asio::awaitable<fence_reply> OnFence(fence_request message) override {
    co_return fence_reply{gate_.Fence(message)};
  }
  asio::awaitable<confirm_reply> OnConfirm(confirm_request message) override {
    return key_proof_.OnConfirm(std::move(message));
  }
  asio::awaitable<permit_reply> OnPermits(permit_ask message) override {
    return quotas_.OnPermits(std::move(message));
  }

 private:
  std::vector<result<done>> ListenAll() {
    const auto endpoint_at = [&](std::int64_t port) {
      return endpoint{settings_.address, static_cast<std::uint16_t>(port)};
    };
    std::vector<result<done>> results = {
        entry_.Listen(endpoint_at(settings_.entry_port), listener_kind::kEntry),
        gate_.Listen(endpoint_at(settings_.gate_port)),
        administration_server_.Listen(endpoint_at(settings_.administration_port)),
        local_server_.Listen(endpoint_at(settings_.local_port)),
        peer_server_.Listen(endpoint_at(settings_.control_port))};
    if (settings_.exit_port != 0) {
      results.push_back(entry_.Listen(endpoint_at(settings_.exit_port), listener_kind::kExit));
    }
    if (settings_.readiness_port != 0) {
      results.push_back(readiness_server_.Listen(endpoint_at(settings_.readiness_port)));
    }
    return results;
  }

  std::unique_ptr<platform_client> MakePlatform() {
    if (hooks_.make_platform_client) return hooks_.make_platform_client(http_client_, era_);
    return MakeHttpPlatformClient(http_client_, Value(ParseEndpoint(settings_.platform)),
                                  settings_.platform_timeout);
  }

  std::unique_ptr<document_source> MakeSource() {
    if (hooks_.make_document_source) return hooks_.make_document_source(http_client_, era_);
    return std::make_unique<repository_source>(repository_);
  }

  asio::awaitable<http::response> HandleRegistration(http::request message) {
    if (hooks_.handle_registration) return hooks_.handle_registration(target_, std::move(message));
    return target_.Handle(std::move(message));
  }

  /// Whether requests can be served: the daemon has joined and is not stopping, and the mesh
  /// document is in force if the settings name one.
  bool Ready() const {
    const std::string& mesh = settings_.proxy.mesh_document;
    const bool configured = mesh.empty() || documents_.InForce(mesh) != nullptr;
    return join_.Ready() && configured && !stopping_;
  }

  asio::awaitable<http::response> HandleReadiness(http::request message) {
    if (message.Path() != settings_.readiness_path) co_return http::response{404, {}, ""};
    co_return http::response{Ready() ? 200U : 503U, {}, ""};
  }

  void AwaitReloadSignal() {
    reload_signal_.async_wait([this](const boost::system::error_code& failed, int) {
      if (failed) return;
      Reload("signal");
      AwaitReloadSignal();
    });
  }

  /// Detects changed settings for which no reload signal was sent.
  asio::awaitable<void> PollForReload() {
    while (!stopping_) {
      reload_timer_.expires_after(settings_.reload_check_interval);
      co_await reload_timer_.async_wait(kAwait);
      if (!stopping_) Reload("check");
    }
  }

  /// Reads the settings again and applies those that can change while the daemon runs.
  void Reload(const char* cause) {
    if (!hooks_.read_settings) {
      logging::Info("settings reload", {{"cause", cause}, {"outcome", "no settings to read"}});
      return;
    }
    auto loaded = hooks_.read_settings();
    if (const auto* problems = std::get_if<json::problems>(&loaded)) {
      logging::Warning("settings reload", {{"cause", cause},
                                           {"outcome", "refused, the present settings hold"},
                                           {"problems", json::FormatProblems(*problems)}});
      return;
    }
    const auto& updated = std::get<daemon_settings>(loaded);
    const bool periodic = std::string_view(cause) == "check";
    const bool changed = PrintDaemonSettings(updated) != PrintDaemonSettings(settings_);
    if (!changed && periodic) return;
    join_.SetSeeds(SeedEndpoints(updated));
    settings_.seed_peers = updated.seed_peers;
    settings_.drain_notice_period = updated.drain_notice_period;
    settings_.drain_timeout = updated.drain_timeout;
    const bool fully_applied = PrintDaemonSettings(updated) == PrintDaemonSettings(settings_);
    logging::Info("settings reload",
                  {{"cause", cause},
                   {"outcome", !changed        ? "unchanged"
                               : fully_applied ? "taken over"
                                               : "taken over in part, the rest at a restart"}});
  }

  asio::awaitable<void> Start() {
    co_await join_.Join();
    if (stopping_) co_return;
    entry_.SetReady(true);
    asio::co_spawn(control_context_, membership_.Run(), asio::detached);
    asio::co_spawn(control_context_, source_.Run(), asio::detached);
    asio::co_spawn(control_context_, rollout_.Run(), asio::detached);
    asio::co_spawn(control_context_, key_proof_.Run(), asio::detached);
    asio::co_spawn(control_context_, join_.MaintainRendezvousRecord(), asio::detached);
    asio::co_spawn(control_context_, CleanUpPeriodically(), asio::detached);
    quotas_.Start();
    if (settings_.distribution.max_witness_wait.count() > 0) {
      asio::co_spawn(control_context_, ReleaseWitnessWaits(), asio::detached);
    }
  }

  asio::awaitable<void> ReleaseWitnessWaits() {
    const milliseconds max_wait = settings_.distribution.max_witness_wait;
    while (!stopping_) {
      // A version that is held from now on is not due before the next round.
      const time_point next_round = Now() + max_wait;
      const auto due = documents_.NextUnwitnessedFor(max_wait);
      witness_timer_.expires_at(due ? std::min(*due, next_round) : next_round);
      co_await witness_timer_.async_wait(kAwait);
      documents_.PutInForceUnwitnessedFor(max_wait, Now());
      budget_.SetDaemonCount(CountPresentMembers());
    }
  }

  std::size_t CountPresentMembers() const {
    std::size_t count = 0;
    for (const auto& [data_centre, members] : members_.View()->data_centres) {
      count += members.size();
    }
    return count;
  }

  /// Periodically releases idle connections, expired quarantine entries and unused memory. Joining
  /// alone opens a connection to every neighbour.
  asio::awaitable<void> CleanUpPeriodically() {
    while (!stopping_) {
      cleanup_timer_.expires_after(kCleanupInterval);
      co_await cleanup_timer_.async_wait(kAwait);
      peers_.CloseIdle(kIdleConnectionTimeout);
      quarantine_.Expire(Now());
      ::malloc_trim(0);
    }
  }

  /// Publishes a crash report. Requests that were in flight together identify the same crash by the
  /// target's instance, so that it is counted once.
  void ReportCrash(const std::string& fingerprint, const std::string& instance) {
    logging::Warning("target crashed while running a request",
                     {{"fingerprint", fingerprint}, {"instance", instance}});
    exchange_.AnnounceCrash({fingerprint, settings_.vm, StableHash(instance), false});
  }

  void ReportCleared(const std::string& fingerprint) {
    logging::Info("request in flight at a crash has completed since; crash report withdrawn",
                  {{"fingerprint", fingerprint}});
    exchange_.AnnounceCrash({fingerprint, "cleared-" + RandomId(), 1, true});
  }

  /// Writes again what this daemon had written to the store, after a random delay so that the
  /// daemons do not all do so at once. The rendezvous record is refreshed periodically anyway.
  void OnStoreRestored(std::uint64_t previous, std::uint64_t current) {
    std::uniform_int_distribution<std::int64_t> delay_ms(0, kMaxRewriteDelay.count());
    rewrite_timer_.expires_after(milliseconds(delay_ms(random_device_)));
    rewrite_timer_.async_wait([this, previous, current](const boost::system::error_code& failed) {
      if (failed || stopping_) return;
      const std::size_t departures = departures_.RecordAgain();
      logging::Warning("store went back",
                       {{"previous_era", static_cast<std::int64_t>(previous)},
                        {"era", static_cast<std::int64_t>(current)},
                        {"departures_rewritten", static_cast<std::int64_t>(departures)}});
    });
    metrics_.IncrementCounter("catkinmoor_store_restores_total");
  }

  void BeginStop() {
    if (stopping_.exchange(true)) return;
    logging::Info("daemon stopping");
    asio::co_spawn(control_context_, StopGracefully(), asio::detached);
  }

  /// Serves during the notice, in which callers turn to other daemons, and then refuses new
  /// requests and waits for active ones. Every request is answered before the process ends.
  asio::awaitable<void> StopGracefully() {
    const time_point begin = Now();
    const stop_schedule schedule = PlanStop(settings_.drain_notice_period, settings_.drain_timeout);
    asio::steady_timer timer(control_context_);
    entry_.LimitDeadlines(begin + schedule.target_deadline);
    timer.expires_at(begin + schedule.withdraw);
    co_await timer.async_wait(kAwait);
    target_.Withdraw();
    timer.expires_at(begin + schedule.drain);
    co_await timer.async_wait(kAwait);
    gate_.Drain();
    entry_.Drain();
    co_await AwaitNoActiveRequests(begin + schedule.end_attempts);
    entry_.EndAttempts();
    co_await AwaitNoActiveRequests(begin + schedule.leave);
    self_.Update([](member_record& record) {
      record.version.state = member_state::kLeft;
      record.target.reset();
    });
    exchange_.AnnounceSelf();
    quotas_.Release();
    const time_point left_at = Now();
    co_await AwaitNoActiveRequests(begin + schedule.end_waits);
    entry_.EndWaits();
    co_await AwaitNoActiveRequests(begin + schedule.end);
    if (HasActiveRequests()) {
      logging::Warning("drain timed out; stopping with requests still active",
                       {{"entry", static_cast<std::int64_t>(entry_.ActiveRequests())},
                        {"gate", static_cast<std::int64_t>(gate_.ActiveRequests())}});
    }
    gate_.StopAccepting();
    timer.expires_at(left_at + kLeaveSpreadTime);
    co_await timer.async_wait(kAwait);
    StopServices();
  }

  bool HasActiveRequests() const {
    return entry_.ActiveRequests() > 0 || gate_.ActiveRequests() > 0;
  }

  asio::awaitable<void> AwaitNoActiveRequests(time_point end) {
    asio::steady_timer timer(control_context_);
    while (HasActiveRequests() && Now() < end) {
      timer.expires_at(std::min(Now() + kDrainPollInterval, end));
      co_await timer.async_wait(kAwait);
    }
  }

  void StopServices() {
    rewrite_timer_.cancel();
    reload_signal_.cancel();
    witness_timer_.cancel();
    reload_timer_.cancel();
    membership_.Stop();
    source_.Stop();
    rollout_.Stop();
    key_proof_.Stop();
    join_.Stop();
    quotas_.Stop();
    target_.Stop();
    cleanup_timer_.cancel();
    administration_server_.Stop();
    local_server_.Stop();
    readiness_server_.Stop();
    // Stop() blocks until the calls in progress have finished, which need this thread to run.
    shutdown_thread_ = std::thread([this] {
      peer_server_.Stop();
      control_context_.stop();
    });
  }

  void RefreshMetrics() {
    quotas_.RefreshMetrics();
    metrics_.SetGauge("catkinmoor_build_info", 1,
                      {{"version", ThisBuild().version},
                       {"sources", ThisBuild().sources},
                       {"machine", ThisBuild().machine}});
    const peer_traffic client = peers_.Traffic();
    const peer_traffic server = peer_server_.Traffic();
    const auto sum = [](std::uint64_t left, std::uint64_t right) {
      return static_cast<double>(left + right);
    };
    metrics_.SetGauge("catkinmoor_control_sent_bytes", sum(client.sent, server.sent));
    metrics_.SetGauge("catkinmoor_control_received_bytes", sum(client.received, server.received));
    metrics_.SetGauge("catkinmoor_source_bytes",
                      static_cast<double>(http_client_.BytesTransferred()));
    metrics_.SetGauge("catkinmoor_members", static_cast<double>(members_.View()->all.size()));
    metrics_.SetGauge("catkinmoor_ledger_entries", static_cast<double>(ledger_.Size()));
    metrics_.SetGauge("catkinmoor_resident_bytes", ResidentBytes());
    metrics_.SetGauge("catkinmoor_processor_seconds", ProcessorSeconds());
    if (const auto load = gate_.TargetLoad()) {
      const std::chrono::duration<double> age = Now() - load->received_at;
      metrics_.SetGauge("catkinmoor_target_load_age_seconds", age.count());
      if (load->work_time_percent) {
        metrics_.SetGauge("catkinmoor_target_work_time_percent", *load->work_time_percent);
      }
    }
    connection_budget_->WriteGauges();
    metrics_.SetGauge("catkinmoor_ready", join_.Ready() ? 1 : 0);
    metrics_.SetGauge("catkinmoor_source_confirmed_age_seconds",
                      std::chrono::duration<double>(freshness_.Age(Now())).count());
    if (key_proofs_.IsBounded() && key_proofs_.ProvedAt()) {
      metrics_.SetGauge("catkinmoor_key_proof_age_seconds",
                        std::chrono::duration<double>(key_proofs_.Age(BootNow())).count());
    }
  }

  daemon_settings settings_;
  daemon_hooks hooks_;
  address_translation translation_;
  std::random_device random_device_;
  asio::io_context control_context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_{
      control_context_.get_executor()};
  metrics::registry metrics_;
  document_board documents_;
  member_table members_;
  self_record self_;
  load_board loads_;
  retry_budget budget_;
  request_ledger ledger_;
  quarantine_board quarantine_;
  rollout_board rollouts_;
  version_router versions_{rollouts_, settings_.region, SuspendAwareNow, random_device_(),
                           version_router::MaxSilenceFor(settings_.rollout)};
  source_freshness freshness_{settings_.distribution.max_source_age};
  store_era era_;
  key_freshness key_proofs_{settings_.distribution.key_revocation_bound};
  distribution_dependencies deps_{documents_,  members_, self_,       freshness_,
                                  quarantine_, metrics_, key_proofs_, &era_};
  std::unique_ptr<spread_strategy> strategy_;
  http::client http_client_{translation_, http::ClientLimitsOfProcess(settings_.memory_mb)};
  std::unique_ptr<platform_client> platform_;
  document_repository repository_;
  std::unique_ptr<document_source> document_source_;
  grpc_peer_client peers_{translation_};
  record_exchange exchange_;
  membership_controller membership_;
  source_controller source_;
  std::unique_ptr<rollout_status_writer> rollout_status_;
  rollout_controller rollout_;
  join_controller join_;
  key_proof_controller key_proof_;
  status_controller status_;
  quota_controller quotas_;
  std::shared_ptr<connection_budget> connection_budget_ =
      std::make_shared<connection_budget>(CallerLimits(settings_), metrics_);
  worker_pool workers_;
  entry_proxy entry_;
  gate_proxy gate_;
  departure_log departures_;
  target_registration target_;
  team_registry teams_;
  administration_service administration_;
  http::server administration_server_;
  http::server local_server_;
  http::server readiness_server_;
  grpc_peer_server peer_server_;
  asio::signal_set signals_;
  asio::signal_set reload_signal_;
  asio::steady_timer witness_timer_{control_context_};
  asio::steady_timer reload_timer_{control_context_};
  asio::steady_timer cleanup_timer_{control_context_};
  asio::steady_timer rewrite_timer_{control_context_};
  std::thread shutdown_thread_;
  std::atomic<bool> stopping_ = false;
};

catkinmoor_daemon::catkinmoor_daemon(daemon_settings settings, daemon_hooks hooks)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(hooks))) {}

catkinmoor_daemon::~catkinmoor_daemon() = default;

result<done> catkinmoor_daemon::Run() { return impl_->Run(); }

}  // namespace catkinmoor
