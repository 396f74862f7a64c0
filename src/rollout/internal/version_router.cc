#include "rollout/version_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

/// Chance that a request uses a grant that the entry holds. Below 1, so that the requests that
/// arrive first after a grant, which may be of one route, do not use all grants.
constexpr double kGrantUse = 0.7;
/// Time after which grants beyond the first are given back, for entries with more requests.
constexpr milliseconds kGrantHolding{1'500};
constexpr milliseconds kInterval{300};
constexpr milliseconds kShortInterval{150};
/// Reports that a conductor takes; a report costs about 0.1 ms of a vm with 0.1 to 0.5 cores
/// (estimated, not measured).
constexpr std::size_t kMaxReportsPerSecond = 600;
/// Round trip between regions, which does not count as response time of a target.
constexpr milliseconds kRegionRoundTrip{24};
/// Time after the stated end of the cold time of a target in which its responses may still be slow.
constexpr std::uint64_t kColdMarginMs = 500;

std::string VersionOf(const member_record& member) {
  if (!member.target) return {};
  const auto found = member.target->labels.find(kVersionLabel);
  return found == member.target->labels.end() ? std::string() : found->second;
}

bool IsExcluded(const rollout_state& state, const std::string& version) {
  return std::find(state.excluded.begin(), state.excluded.end(), version) != state.excluded.end();
}

}  // namespace

version_router::version_router(const rollout_board& board, std::string region, clock now,
                               std::uint64_t seed, milliseconds max_silence)
    : board_(board),
      region_(std::move(region)),
      now_(std::move(now)),
      max_silence_(max_silence),
      random_(seed) {}

version_router::service_record& version_router::RecordFor(const held_rollout& held) {
  service_record& record = services_[held.state.order.service];
  if (record.order != held.state.order.number) {
    auto in_flight = std::move(record.in_flight);
    record = {};
    record.in_flight = std::move(in_flight);
    record.order = held.state.order.number;
    record.changes = 1;
  }
  if (record.epoch != held.state.epoch) {
    // Another conductor does not know which grants of the previous one were used.
    record.epoch = held.state.epoch;
    record.granted = record.used = record.returned = 0;
    ++record.changes;
  }
  return record;
}

double version_router::ShareFor(service_record& record, const held_rollout& held, time_point now) {
  const rollout_state& state = held.state;
  if (state.phase == rollout_phase::kRolledBack) return 0;
  if (state.phase == rollout_phase::kSucceeded) return 1;
  if (state.phase == rollout_phase::kClosing) record.closed = true;
  if (state.phase < rollout_phase::kClosing) record.closed = false;
  // Once this entry may have confirmed that it uses no other version, those may stop at any moment.
  if (record.closed) return 1;
  if (state.conductor.empty() || now - held.heard_at > max_silence_) return 0;
  return state.share;
}

bool version_router::Draw(service_record& record, const held_rollout& held, double share) {
  if (share <= 0) return false;
  if (!NeedsGrants(held.state.phase)) {
    return share >= 1 || std::uniform_real_distribution<>(0, 1)(random_) < share;
  }
  const bool has_grant = record.granted > record.used + record.returned;
  if (!has_grant || std::uniform_real_distribution<>(0, 1)(random_) >= kGrantUse) return false;
  ++record.used;
  return true;
}

std::vector<member_ptr> version_router::Concentrate(std::vector<member_ptr> targets,
                                                    double fraction) const {
  const auto near = [&](const member_ptr& each) { return each->region == region_; };
  const bool has_near = std::any_of(targets.begin(), targets.end(), near);
  if (has_near) std::erase_if(targets, [&](const member_ptr& each) { return !near(each); });
  const auto count = static_cast<std::size_t>(
      std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(targets.size())));
  if (count >= targets.size()) return targets;
  // All entries use the same targets.
  std::sort(targets.begin(), targets.end(), [](const member_ptr& left, const member_ptr& right) {
    return std::pair(StableHash(left->vm), left->vm) < std::pair(StableHash(right->vm), right->vm);
  });
  targets.resize(std::max<std::size_t>(1, count));
  return targets;
}

std::vector<member_ptr> version_router::Restrict(const std::string& service, bool first_attempt,
                                                 std::vector<member_ptr> eligible) {
  const auto held = board_.Find(service);
  if (!held) return eligible;
  const rollout_state& state = held->state;
  std::vector<member_ptr> ordered;
  std::vector<member_ptr> others;
  for (member_ptr& each : eligible) {
    const std::string version = VersionOf(*each);
    if (version == state.order.target) {
      ordered.push_back(std::move(each));
    } else if (!IsExcluded(state, version)) {
      others.push_back(std::move(each));
    }
  }
  if (state.phase == rollout_phase::kRolledBack) return others;
  const std::lock_guard<std::mutex> lock(mutex_);
  service_record& record = RecordFor(*held);
  const time_point now = now_();
  const double share = ShareFor(record, *held, now);
  if (share >= 1) {
    const bool final_grace = IsFinal(state.phase) && now - held->phase_heard_at < kFinalGrace;
    return ordered.empty() && !final_grace ? others : ordered;
  }
  if (others.empty()) return ordered;
  if (ordered.empty() || !first_attempt || !Draw(record, *held, share)) return others;
  ++record.exposed;
  ++record.changes;
  const bool concentrated = NeedsGrants(state.phase) && state.target_fraction < 1;
  return concentrated ? Concentrate(std::move(ordered), state.target_fraction) : ordered;
}

version_router::attempt::attempt(version_router& owner, std::string service, std::string route,
                                 const member_record& to, std::uint64_t wall_ms)
    : service_(std::move(service)), route_(std::move(route)), version_(VersionOf(to)) {
  if (!owner.IsActive() || !to.target) return;
  owner_ = &owner;
  other_region_ = to.region != owner.region_;
  cold_ = to.target->ready_at_ms + kColdMarginMs > wall_ms;
  owner.Begin(service_, version_);
}

version_router::attempt::attempt(attempt&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      service_(std::move(other.service_)),
      route_(std::move(other.route_)),
      version_(std::move(other.version_)),
      other_region_(other.other_region_),
      cold_(other.cold_) {}

version_router::attempt::~attempt() {
  if (owner_ != nullptr) owner_->End(service_, version_);
}

void version_router::attempt::OnOutcome(evidence_outcome outcome, milliseconds took) {
  if (owner_ == nullptr || outcome == evidence_outcome::kNotRun) return;
  std::optional<milliseconds> counted;
  if (!cold_) {
    counted = other_region_ ? std::max(milliseconds(0), took - kRegionRoundTrip) : took;
  }
  owner_->Count(service_, route_, version_, outcome, counted);
}

milliseconds version_router::ReportInterval(rollout_phase phase, std::size_t entries) {
  const bool much = phase >= rollout_phase::kLoad && !IsFinal(phase);
  const milliseconds interval = much ? kShortInterval : kInterval;
  return std::max(interval, milliseconds(entries * 1'000 / kMaxReportsPerSecond));
}

void version_router::Begin(const std::string& service, const std::string& version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++services_[service].in_flight[version];
}

void version_router::End(const std::string& service, const std::string& version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  service_record& record = services_[service];
  const auto found = record.in_flight.find(version);
  if (found == record.in_flight.end()) return;
  if (--found->second == 0) record.in_flight.erase(found);
  ++record.changes;
}

void version_router::Count(const std::string& service, const std::string& route,
                           const std::string& version, evidence_outcome outcome,
                           std::optional<milliseconds> took) {
  const auto held = board_.Find(service);
  if (!held) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  service_record& record = RecordFor(*held);
  const bool ordered = version == held->state.order.target;
  if (!ordered && IsExcluded(held->state, version)) return;
  version_figures& figures = record.figures[{route, ordered}];
  ++record.requests;
  ++record.changes;
  ++figures.requests;
  if (outcome == evidence_outcome::kFailure) {
    ++figures.failures;
  } else if (took) {
    ++figures.times[TimeBucket(*took)];
  }
}

bool version_router::IsReportUrgent(const std::string& service) {
  const auto held = board_.Find(service);
  if (!held || IsFinal(held->state.phase) || held->state.conductor.empty()) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  const service_record& record = RecordFor(*held);
  return record.reported_phase != held->state.phase || record.reported_epoch != held->state.epoch;
}

bool version_router::HasNews(const std::string& service) {
  const auto held = board_.Find(service);
  if (!held || IsFinal(held->state.phase) || held->state.conductor.empty()) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  const service_record& record = RecordFor(*held);
  return record.changes != record.reported_changes;
}

std::optional<rollout_report> version_router::MakeReport(const std::string& service) {
  const auto held = board_.Find(service);
  if (!held || IsFinal(held->state.phase) || held->state.conductor.empty()) return std::nullopt;
  const std::lock_guard<std::mutex> lock(mutex_);
  service_record& record = RecordFor(*held);
  const time_point now = now_();
  ShareFor(record, *held, now);
  const std::uint64_t unused = record.granted - record.used - record.returned;
  if (unused > 1 && now - record.granted_at > kGrantHolding) record.returned += unused - 1;
  rollout_report report;
  report.number = ++record.number;
  report.service = service;
  report.order = record.order;
  report.seen_epoch = held->state.epoch;
  report.seen_sequence = held->state.sequence;
  for (const auto& [version, count] : record.in_flight) {
    if (version != held->state.order.target) report.other_in_flight += count;
  }
  report.requests = record.requests;
  report.exposed = record.exposed;
  report.grant_epoch = record.epoch;
  report.returned = record.returned;
  for (const auto& [key, figures] : record.figures) {
    report.counts.push_back({key.ordered, key.route, figures});
  }
  record.reported_changes = record.changes;
  record.reported_phase = held->state.phase;
  record.reported_epoch = held->state.epoch;
  return report;
}

void version_router::OnReportLost(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++services_[service].changes;
}

void version_router::OnReply(const std::string& service, std::uint64_t order,
                             const rollout_report_reply& reply) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  service_record& record = found->second;
  const bool current = record.order == order && record.epoch == reply.grant_epoch;
  if (!current || reply.granted <= record.granted) return;
  record.granted = reply.granted;
  record.granted_at = now_();
}

}  // namespace catkinmoor
