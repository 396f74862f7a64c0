#include "distribution/membership_controller.h"

#include <bit>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kIndirectProbers = 2;
constexpr std::size_t kRelays = 2;
constexpr milliseconds kTombstoneRetention{24L * 3600 * 1000};

}  // namespace

membership_controller::membership_controller(asio::io_context& context,
                                             distribution_dependencies deps, peer_client& peers,
                                             record_exchange& exchange,
                                             distribution_settings settings, std::uint64_t seed)
    : context_(context),
      deps_(deps),
      peers_(peers),
      exchange_(exchange),
      settings_(std::move(settings)),
      detector_(deps.self.Get().vm, {.suspicion_timeout = settings_.suspicion_timeout}),
      random_(seed),
      timer_(context) {
  exchange_.SetMemberListener([this](const member_record& record) {
    if (record.version.state != member_state::kSuspect) return;
    const std::lock_guard<std::mutex> lock(mutex_);
    detector_.OnSuspected(record, Now());
  });
}

void membership_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

asio::awaitable<void> membership_controller::Run() {
  while (!stopping_) {
    // Jitter of 20% keeps daemons that started at the same time from probing in lockstep.
    const auto percent = static_cast<std::int64_t>(80 + RandomIndex(41));
    timer_.expires_after(settings_.probe_interval * percent / 100);
    co_await timer_.async_wait(kAwait);
    if (stopping_) co_return;
    asio::co_spawn(context_, ProbeOnce(), asio::detached);
    asio::co_spawn(context_, CompareWithRingFinger(), asio::detached);
    asio::co_spawn(context_, CompareWithOtherDataCentre(), asio::detached);
    asio::co_spawn(context_, exchange_.FindWitness(), asio::detached);
    std::vector<detector_verdict> verdicts;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      verdicts = detector_.ExpireSuspicions(deps_.members, Now());
    }
    AnnounceVerdicts(verdicts);
    deps_.members.Purge(Now(), kTombstoneRetention);
  }
}

std::size_t membership_controller::RandomIndex(std::size_t count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

probe_request membership_controller::MakeProbe(const std::string& recipient) const {
  return {deps_.self.Get().vm, exchange_.DocumentHash(), exchange_.MemberHash(), "", recipient};
}

void membership_controller::AnnounceVerdicts(const std::vector<detector_verdict>& verdicts) {
  for (const detector_verdict& verdict : verdicts) {
    const member_ptr current = deps_.members.Find(verdict.vm);
    if (current == nullptr || current->version >= verdict.version) continue;
    member_record announced = *current;
    announced.version = verdict.version;
    logging::Info("member state changed by this daemon's failure detector",
                  {{"vm", verdict.vm}, {"state", StateName(verdict.version.state)}});
    exchange_.AnnounceMember(announced);
  }
}

asio::awaitable<void> membership_controller::ProbeOnce() {
  member_ptr member;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    member = detector_.NextToProbe(*deps_.members.View(), deps_.self.Get().data_centre);
  }
  if (member == nullptr) co_return;
  auto reply =
      co_await peers_.Probe(member->control, MakeProbe(member->vm), settings_.probe_timeout);
  bool reached = Ok(reply) && Value(reply).reached;
  if (!reached) reached = co_await ProbeIndirectly(*member);
  if (!reached) {
    std::vector<detector_verdict> verdicts;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const member_ptr current = deps_.members.Find(member->vm);
      if (current != nullptr) verdicts = detector_.OnProbeFailed(*current, Now());
    }
    AnnounceVerdicts(verdicts);
    co_return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    detector_.OnProbeSucceeded(member->vm);
  }
  if (!Ok(reply) || !Value(reply).reached) co_return;
  const bool same = Value(reply).document_hash == exchange_.DocumentHash() &&
                    Value(reply).member_hash == exchange_.MemberHash();
  if (!same) co_await exchange_.Reconcile(*member);
}

asio::awaitable<bool> membership_controller::ProbeIndirectly(member_record member) {
  std::vector<member_ptr> probers;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    probers = detector_.IndirectProbers(*deps_.members.View(), member, kIndirectProbers);
  }
  for (const member_ptr& prober : probers) {
    probe_request message = MakeProbe(prober->vm);
    message.on_behalf_of = member.vm;
    // Twice the timeout, as the prober has to wait for its own probe.
    auto reply = co_await peers_.Probe(prober->control, message, settings_.probe_timeout * 2);
    if (Ok(reply) && Value(reply).reached) co_return true;
  }
  co_return false;
}

asio::awaitable<void> membership_controller::CompareWithRingFinger() {
  const member_record self = deps_.self.Get();
  const auto ring = Successors(*deps_.members.View(), self.data_centre, self.vm, SIZE_MAX);
  if (ring.empty()) co_return;
  const std::size_t power = RandomIndex(static_cast<std::size_t>(std::bit_width(ring.size())));
  const member_ptr& finger = ring[(std::size_t{1} << power) - 1];
  co_await ReconcileIfDifferent(*finger, settings_.probe_timeout);
}

asio::awaitable<void> membership_controller::CompareWithOtherDataCentre() {
  const member_record self = deps_.self.Get();
  const auto view = deps_.members.View();
  const auto relays = Relays(*view, self.data_centre, kRelays);
  const bool is_relay = std::any_of(relays.begin(), relays.end(),
                                    [&](const member_ptr& each) { return each->vm == self.vm; });
  if (!is_relay) co_return;
  std::vector<member_ptr> others;
  for (const auto& [data_centre, members] : view->data_centres) {
    if (data_centre == self.data_centre) continue;
    for (const member_ptr& each : Relays(*view, data_centre, kRelays)) others.push_back(each);
  }
  if (others.empty()) co_return;
  co_await ReconcileIfDifferent(*others[RandomIndex(others.size())], settings_.spread_timeout);
}

asio::awaitable<void> membership_controller::ReconcileIfDifferent(member_record member,
                                                                  milliseconds timeout) {
  auto reply = co_await peers_.Probe(member.control, MakeProbe(member.vm), timeout);
  if (!Ok(reply) || !Value(reply).reached) co_return;
  const bool same = Value(reply).document_hash == exchange_.DocumentHash() &&
                    Value(reply).member_hash == exchange_.MemberHash();
  if (!same) co_await exchange_.Reconcile(member);
}

asio::awaitable<probe_reply> membership_controller::OnProbe(probe_request message) {
  probe_reply reply{true, exchange_.DocumentHash(), exchange_.MemberHash()};
  if (!message.recipient.empty() && message.recipient != deps_.self.Get().vm) {
    reply.reached = false;
    co_return reply;
  }
  if (!message.on_behalf_of.empty()) {
    const member_ptr member = deps_.members.Find(message.on_behalf_of);
    reply.reached = false;
    if (member != nullptr) {
      auto indirect_reply =
          co_await peers_.Probe(member->control, MakeProbe(member->vm), settings_.probe_timeout);
      reply.reached = Ok(indirect_reply) && Value(indirect_reply).reached;
    }
  }
  co_return reply;
}

}  // namespace catkinmoor
