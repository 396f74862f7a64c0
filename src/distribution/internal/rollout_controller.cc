#include "distribution/rollout_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

#include "distribution/spread_plan.h"
#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr const char* kRowPrefix = "rollout/";
constexpr milliseconds kTick{100};
/// Without an order nothing is due; one that a peer spreads is noticed within this time.
constexpr milliseconds kIdleTick{250};
constexpr milliseconds kPublishInterval{250};
/// Interval and time of repeating the end of a rollout. Daemons that were cut off for longer learn
/// of it when they compare records with a neighbour.
constexpr milliseconds kFinalInterval{2'000};
constexpr milliseconds kFinalTime{60'000};
/// Silence of the conductor after which candidates look at its row.
constexpr milliseconds kSilence{1'000};
constexpr milliseconds kObserveInterval{1'000};
/// Time after the end of a rollout at which candidates read whether its status was written.
constexpr milliseconds kFinalCheckDelay{5'000};
/// Candidates begin one after the other, so that usually only one writes.
constexpr milliseconds kRankDelay{250};
constexpr std::size_t kCandidatesPerRegion = 2;
constexpr milliseconds kRetryInterval{300};
constexpr milliseconds kReportTimeout{600};
/// Sequence of a final state that was read from the row, which does not keep the sequence. Above
/// any that a conductor reaches.
constexpr std::uint64_t kRowSequence = 1ULL << 40U;
/// A share as a number of parts in log lines.
constexpr double kPerMille = 1'000;

std::int64_t Number(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

rollout_controller::rollout_controller(asio::io_context& context, distribution_dependencies deps,
                                       peer_client& peers, record_exchange& exchange,
                                       rollout_dependencies rollout)
    : context_(context),
      deps_(deps),
      peers_(peers),
      exchange_(exchange),
      rollout_(std::move(rollout)),
      timer_(context) {
  if (rollout_.bounds.Enabled()) exchange_.SetRolloutBoard(&rollout_.board);
}

void rollout_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

asio::awaitable<void> rollout_controller::Run() {
  if (!rollout_.bounds.Enabled()) co_return;
  while (!stopping_) {
    timer_.expires_after(rollout_.board.IsEmpty() ? kIdleTick : kTick);
    co_await timer_.async_wait(kAwait);
    if (stopping_) co_return;
    for (const held_rollout& each : rollout_.board.All()) Tick(each, rollout_.now());
  }
}

void rollout_controller::OnOrder(const rollout_order& order, spread_range range) {
  if (!rollout_.bounds.Enabled()) return;
  const auto held = rollout_.board.Find(order.service);
  if (held && held->state.order.number >= order.number) return;
  logging::Info("order of a rollout received", {{"service", order.service},
                                                {"target", order.target},
                                                {"order", Number(order.number)},
                                                {"duration_ms", order.duration.count()}});
  rollout_state state{order};
  // Until a conductor states which versions were not proven, this daemon's knowledge is spread.
  if (held) {
    const rollout_record previous{
        held->state.order, held->state.phase, milliseconds(0), 0, held->state.excluded, ""};
    state.excluded = SucceedingRecord(previous, order).excluded;
  }
  exchange_.AnnounceRollout(state, range);
}

void rollout_controller::Tick(const held_rollout& held, time_point now) {
  job& own = jobs_[held.state.order.service];
  deps_.metrics.SetGauge("catkinmoor_rollout_heard_age_seconds",
                         std::chrono::duration<double>(now - held.heard_at).count(),
                         {{"service", held.state.order.service}});
  ReportIfDue(held, own, now);
  if (own.plan != nullptr) {
    Conduct(held, own, now);
  } else {
    ObserveIfDue(held, own, now);
  }
}

void rollout_controller::ReportIfDue(const held_rollout& held, job& own, time_point now) {
  const std::string& service = held.state.order.service;
  const bool reports = !own.reporting && !held.state.conductor.empty() &&
                       !IsFinal(held.state.phase) &&
                       now - held.heard_at <= version_router::kMaxSilence;
  if (!reports) return;
  const milliseconds interval =
      version_router::ReportInterval(held.state.phase, deps_.members.View()->all.size());
  const bool due = now - own.reported_at >= interval && rollout_.router.HasNews(service);
  const bool urgent = now - own.reported_at >= kTick && rollout_.router.IsReportUrgent(service);
  if (!due && !urgent) return;
  own.reporting = true;
  own.reported_at = now;
  asio::co_spawn(context_, SendReport(service, held.state.conductor), asio::detached);
}

asio::awaitable<void> rollout_controller::SendReport(std::string service, std::string conductor) {
  auto report = rollout_.router.MakeReport(service);
  if (report) {
    const member_record self = deps_.self.Get();
    report->sender = self.vm;
    report->incarnation = self.version.incarnation;
    const std::uint64_t order = report->order;
    result<rollout_report_reply> reply =
        error{error_kind::kNotFound, "report rollout", conductor, "unknown member"};
    const member_ptr member = deps_.members.Find(conductor);
    if (conductor == self.vm) {
      reply = co_await OnReport(std::move(*report));
    } else if (member != nullptr) {
      reply = co_await peers_.ReportRollout(member->control, std::move(*report), kReportTimeout);
    }
    if (Ok(reply)) {
      deps_.metrics.IncrementCounter("catkinmoor_rollout_reports_total");
      const auto& state = Value(reply).state;
      if (state && state->order.service == service) rollout_.board.Record(*state, rollout_.now());
      rollout_.router.OnReply(service, order, Value(reply));
    } else {
      deps_.metrics.IncrementCounter("catkinmoor_rollout_report_failures_total");
      rollout_.router.OnReportLost(service);
    }
  }
  jobs_[service].reporting = false;
}

asio::awaitable<rollout_report_reply> rollout_controller::OnReport(rollout_report report) {
  rollout_report_reply reply;
  if (!rollout_.bounds.Enabled()) co_return reply;
  const time_point now = rollout_.now();
  const auto found = jobs_.find(report.service);
  const bool conducts =
      found != jobs_.end() && found->second.plan != nullptr && found->second.lease.Holds(now);
  if (conducts) reply = found->second.plan->OnReport(report, now);
  // The plan may be ahead of the table; only what has been published counts.
  reply.state.reset();
  if (const auto held = rollout_.board.Find(report.service)) reply.state = held->state;
  co_return reply;
}

std::optional<std::size_t> rollout_controller::CandidateRank(const std::string& service) const {
  const auto view = deps_.members.View();
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [region, data_centres] : view->regions) {
    for (const member_ptr& each : Readers(*view, region, kCandidatesPerRegion)) {
      ranked.emplace_back(StableHash(service + "\n" + each->vm), each->vm);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const std::string self = deps_.self.Get().vm;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i].second == self) return i;
  }
  return std::nullopt;
}

bool rollout_controller::IsGone(const std::string& vm) const {
  const auto view = deps_.members.View();
  std::size_t present = 0;
  for (const auto& [name, member] : view->all) present += IsPresent(*member) ? 1 : 0;
  // Of two parts of a fleet that do not hear each other, the smaller one takes nothing over.
  if (present * 2 <= view->all.size()) return false;
  const auto found = view->all.find(vm);
  return found == view->all.end() || !IsPresent(*found->second);
}

void rollout_controller::ObserveIfDue(const held_rollout& held, job& own, time_point now) {
  const bool final = IsFinal(held.state.phase);
  if (own.busy || (final && own.finished_order == held.state.order.number)) return;
  // A conductor that dies after it spread the end may not have written the status.
  if (final && now - held.phase_heard_at < kFinalCheckDelay) return;
  const bool conducted = !final && !held.state.conductor.empty();
  const milliseconds silence = std::chrono::duration_cast<milliseconds>(now - held.heard_at);
  if (conducted && silence < kSilence) return;
  if (now - own.observed_at < kObserveInterval) return;
  const auto rank = CandidateRank(held.state.order.service);
  if (!rank || (!conducted && !final && silence < kRankDelay * *rank)) return;
  own.busy = true;
  own.observed_at = now;
  asio::co_spawn(context_, Observe(held.state.order), asio::detached);
}

asio::awaitable<void> rollout_controller::Observe(rollout_order order) {
  job& own = jobs_[order.service];
  const std::string self = deps_.self.Get().vm;
  auto read = co_await ReadRow(order.service);
  if (!Ok(read)) {
    logging::Warning("row of a rollout's conductor not readable", Failure(read));
    own.busy = false;
    co_return;
  }
  const std::optional<conductor_row>& row = Value(read);
  const time_point now = rollout_.now();
  const auto heard = rollout_.board.Find(order.service);
  const bool silent = !heard || now - heard->heard_at >= conductor_lease::kTakeover;
  const bool gone = row && silent && IsGone(row->vm);
  const auto step = own.lease.Observe(row, order.number, self, gone, now);
  if (step == conductor_lease::step::kFinished) {
    rollout_state ended{row->record.order};
    ended.phase = row->record.phase;
    ended.share = ended.phase == rollout_phase::kSucceeded ? 1 : 0;
    ended.conductor = row->vm;
    ended.epoch = row->epoch;
    ended.sequence = kRowSequence;
    ended.excluded = row->record.excluded;
    ended.reason = row->record.reason;
    own.finished_order = order.number;
    const auto held = rollout_.board.Find(order.service);
    const bool known =
        held && held->state.order.number == order.number && IsFinal(held->state.phase);
    if (!known) exchange_.AnnounceRollout(ended, spread_range::kFleet);
  }
  if (step == conductor_lease::step::kClaim) {
    conductor_row claim = own.lease.MakeClaim(row, order, self, now);
    // The record may be old if the table was away.
    if (heard && heard->state.order.number == order.number) {
      const auto known_for = std::chrono::duration_cast<milliseconds>(now - heard->order_heard_at);
      claim.record.elapsed = std::max(claim.record.elapsed, known_for);
    }
    // The end of a failed rollout is spread before it is in the row, and remains the end.
    const auto known = rollout_.board.Find(order.service);
    if (known && known->state.order.number == order.number && IsFinal(known->state.phase)) {
      claim.record.phase = known->state.phase;
      claim.record.reason = known->state.reason;
    }
    const time_point sent_at = rollout_.now();
    const auto written = co_await WriteRow(claim);
    const auto held = rollout_.board.Find(order.service);
    const bool superseded = held && held->state.order.number > order.number;
    if (Ok(written) && !superseded) {
      own.lease.OnRenewed(sent_at);
      own.epoch = claim.epoch;
      own.plan = std::make_unique<rollout_plan>(claim.record, rollout_.bounds, self, claim.epoch,
                                                rollout_.now());
      own.recorded_phase.reset();
      own.written_status.reset();
      own.closed = false;
      own.ended_at = {};
      deps_.metrics.IncrementCounter("catkinmoor_rollout_claims_total");
      logging::Info("this daemon conducts a rollout",
                    {{"service", order.service},
                     {"target", order.target},
                     {"order", Number(order.number)},
                     {"epoch", Number(claim.epoch)},
                     {"previous", row ? row->vm : std::string()},
                     {"elapsed_ms", claim.record.elapsed.count()}});
    } else if (!Ok(written) && Failure(written).kind != error_kind::kConflict) {
      logging::Warning("row of a rollout's conductor not written", Failure(written));
    }
  }
  own.busy = false;
}

rollout_fleet rollout_controller::Fleet(const rollout_order& order) const {
  rollout_fleet fleet;
  for (const member_ptr& each : deps_.members.TargetsOf(order.service)) {
    if (!each->target || each->target->state != target_state::kReady) continue;
    const auto label = each->target->labels.find(kVersionLabel);
    const bool ordered = label != each->target->labels.end() && label->second == order.target;
    if (ordered) ++fleet.ordered_targets;
  }
  for (const auto& [data_centre, members] : deps_.members.View()->data_centres) {
    for (const member_ptr& each : members) {
      if (each->version.state == member_state::kAlive) fleet.entries.insert(each->vm);
    }
  }
  return fleet;
}

void rollout_controller::StopConducting(const std::string& service, job& own, const char* cause) {
  deps_.metrics.IncrementCounter("catkinmoor_rollout_leases_lost_total");
  logging::Warning("this daemon no longer conducts a rollout",
                   {{"service", service}, {"cause", cause}});
  own.plan.reset();
  own.lease.Release();
}

void rollout_controller::LogPhase(const job& own) const {
  const rollout_state state = own.plan->State();
  logging::Info("phase of a rollout changed",
                {{"service", state.order.service},
                 {"target", state.order.target},
                 {"phase", PhaseName(state.phase)},
                 {"reason", state.reason},
                 {"share_per_mille", std::llround(state.share * kPerMille)},
                 {"requests", Number(own.plan->Requests())},
                 {"exposed", Number(own.plan->Exposed())},
                 {"granted", Number(own.plan->Granted())}});
  deps_.metrics.IncrementCounter(
      "catkinmoor_rollout_phases_total",
      {{"service", state.order.service}, {"phase", PhaseName(state.phase)}});
}

void rollout_controller::Conduct(const held_rollout& held, job& own, time_point now) {
  const std::string service = held.state.order.service;
  if (held.state.order.number == own.plan->State().order.number && held.state.epoch > own.epoch) {
    return StopConducting(service, own, "another daemon conducts it");
  }
  if (held.state.order.number > own.plan->State().order.number) {
    if (!own.lease.Holds(now)) {
      return StopConducting(service, own, "the lease has expired before a new order");
    }
    if (own.busy) return;
    const rollout_record previous = own.plan->MakeRecord(now);
    own.plan = std::make_unique<rollout_plan>(SucceedingRecord(previous, held.state.order),
                                              rollout_.bounds, deps_.self.Get().vm, own.epoch, now);
    own.recorded_phase.reset();
    own.written_status.reset();
    own.closed = false;
    own.ended_at = {};
    logging::Info("a new order replaces a rollout", {{"service", service},
                                                     {"target", held.state.order.target},
                                                     {"previous", previous.order.target}});
  }
  if (IsFinal(own.plan->State().phase) && own.closed) {
    // An end is repeated without a lease: it does not change any more.
    if (now - own.ended_at > kFinalTime) {
      own.plan.reset();
    } else if (now - own.published_at >= kFinalInterval) {
      Publish(own, now);
    }
    return;
  }
  if (!own.lease.Holds(now)) {
    return StopConducting(service, own, "the lease has expired without a renewal");
  }
  const bool changed = own.plan->Step(Fleet(own.plan->State().order), now);
  const rollout_state state = own.plan->State();
  deps_.metrics.SetGauge("catkinmoor_rollout_share", state.share, {{"service", service}});
  deps_.metrics.SetGauge("catkinmoor_rollout_requests", static_cast<double>(own.plan->Requests()),
                         {{"service", service}});
  deps_.metrics.SetGauge("catkinmoor_rollout_granted", static_cast<double>(own.plan->Granted()),
                         {{"service", service}});
  if (changed) LogPhase(own);
  // A failed version gets nothing more at once; the row follows.
  if (changed && state.phase == rollout_phase::kRolledBack) Publish(own, now);
  const bool unrecorded = own.recorded_phase != state.phase;
  const bool due = unrecorded ? changed || now - own.tried_at >= kRetryInterval
                              : own.lease.RenewalDue(now) && now - own.tried_at >= kRetryInterval;
  if (!own.busy && due) {
    own.busy = true;
    own.tried_at = now;
    asio::co_spawn(context_, Renew(service, state.order.number), asio::detached);
  }
  const bool publishes = !unrecorded || state.phase == rollout_phase::kRolledBack;
  if (publishes && now - own.published_at >= kPublishInterval) Publish(own, now);
  const rollout_outcome outcome = OutcomeOf(state.phase);
  const bool states = !unrecorded && own.written_status != outcome && !own.writing_status &&
                      now - own.status_tried_at >= kRetryInterval;
  if (!states) return;
  own.writing_status = true;
  own.status_tried_at = now;
  asio::co_spawn(context_, WriteStatus(state.order, outcome), asio::detached);
}

void rollout_controller::Publish(job& own, time_point now) {
  own.published_at = now;
  exchange_.AnnounceRollout(own.plan->NextState(), spread_range::kFleet);
}

asio::awaitable<void> rollout_controller::Renew(std::string service, std::uint64_t order) {
  job& own = jobs_[service];
  const std::string self = deps_.self.Get().vm;
  auto read = co_await ReadRow(service);
  const auto is_current = [&] {
    return own.plan != nullptr && own.plan->State().order.number == order;
  };
  if (!Ok(read) || !is_current()) {
    if (!Ok(read)) logging::Warning("row of a rollout not renewed", Failure(read));
    own.busy = false;
    co_return;
  }
  const std::optional<conductor_row>& row = Value(read);
  if (!row || row->vm != self || row->epoch != own.epoch) {
    StopConducting(service, own, "the row names another daemon");
    own.busy = false;
    co_return;
  }
  conductor_row next;
  next.vm = self;
  next.epoch = own.epoch;
  next.record = own.plan->MakeRecord(rollout_.now());
  next.revision = row->revision;
  const bool final = IsFinal(next.record.phase);
  next.status_written =
      final && (rollout_.status == nullptr || own.written_status == OutcomeOf(next.record.phase));
  const time_point sent_at = rollout_.now();
  const auto written = co_await WriteRow(next);
  if (Ok(written) && is_current()) {
    own.lease.OnRenewed(sent_at);
    own.plan->OnRecorded(next.record);
    own.recorded_phase = next.record.phase;
    if (next.status_written) {
      own.closed = true;
      own.finished_order = order;
      own.ended_at = sent_at;
    }
  } else if (!Ok(written)) {
    logging::Warning("row of a rollout not renewed", Failure(written));
  }
  own.busy = false;
}

asio::awaitable<void> rollout_controller::WriteStatus(rollout_order order,
                                                      rollout_outcome outcome) {
  result<done> written = done{};
  if (rollout_.status != nullptr) written = co_await rollout_.status->Write(order, outcome);
  job& own = jobs_[order.service];
  own.writing_status = false;
  if (!Ok(written)) {
    logging::Warning("status of a rollout not written; retrying", Failure(written));
    co_return;
  }
  const bool current = own.plan != nullptr && own.plan->State().order.number == order.number;
  if (!current) co_return;
  own.written_status = outcome;
  // The row states next that the end is written.
  if (outcome != rollout_outcome::kRunning) own.recorded_phase.reset();
  logging::Info("status of a rollout written",
                {{"service", order.service}, {"target", order.target}});
}

std::vector<rollout_view> rollout_controller::View() const {
  std::vector<rollout_view> views;
  const time_point now = rollout_.now();
  for (const held_rollout& each : rollout_.board.All()) {
    rollout_view view;
    view.state = each.state;
    view.heard_ago = std::chrono::duration_cast<milliseconds>(now - each.heard_at);
    const auto found = jobs_.find(each.state.order.service);
    if (found != jobs_.end() && found->second.plan != nullptr) {
      const rollout_plan& plan = *found->second.plan;
      view.conducts = true;
      view.requests = plan.Requests();
      view.exposed = plan.Exposed();
      view.granted = plan.Granted();
      view.evidence = plan.Evidence();
    }
    views.push_back(std::move(view));
  }
  return views;
}

asio::awaitable<result<std::optional<conductor_row>>> rollout_controller::ReadRow(
    std::string service) {
  deps_.metrics.IncrementCounter("catkinmoor_rollout_row_reads_total");
  auto read = co_await rollout_.platform.Read(kRowPrefix + service);
  if (!Ok(read)) co_return Failure(read);
  std::optional<conductor_row> row;
  if (Value(read)) {
    row = ParseConductorRow(Value(read)->value);
    // A row that cannot be parsed is replaced, with an epoch that is higher than any before.
    if (!row) row = conductor_row{"", UnixMilliseconds(), {}, true, 0};
    row->revision = Value(read)->revision;
  }
  co_return row;
}

asio::awaitable<result<done>> rollout_controller::WriteRow(conductor_row row) {
  deps_.metrics.IncrementCounter("catkinmoor_rollout_row_writes_total");
  std::vector<row_write> writes = {
      {kRowPrefix + row.record.order.service, SerializeConductorRow(row), row.revision}};
  co_return co_await rollout_.platform.Transact(std::move(writes));
}

}  // namespace catkinmoor
