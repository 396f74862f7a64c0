#include "rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace catkinmoor {
namespace {

/// Parts of the bound that are used; the rest covers requests that others count differently.
constexpr double kSafeShare = 0.9;
constexpr double kSafeSlack = 0.8;
/// Part of the safe slack that is granted to entries before they have reported requests, so that a
/// service with little traffic yields evidence.
constexpr double kPreplacedPart = 0.6;
constexpr double kFirstShare = 0.02;
constexpr double kCanaryShare = 0.05;
constexpr double kMaxCanaryShare = 0.5;
/// Responses that the canary phase aims at, and that each phase needs in order to end in time.
constexpr double kWantedResponses = 60;
constexpr std::uint64_t kCanaryResponses = 25;
constexpr std::uint64_t kLoadResponses = 25;
/// Needed in total when time runs out. With four good responses, a version of which half are bad
/// passes with a chance of 6 %.
constexpr std::uint64_t kFewResponses = 4;
/// A route with this share of the traffic needs evidence of its own.
constexpr double kRouteShare = 0.05;
constexpr std::uint64_t kRouteResponses = 4;
/// Ends of the canary and load phase, as parts of the time between the version's first target and
/// the time by which the rollout is to be done, and at most.
constexpr double kCanaryEnd = 0.42;
constexpr milliseconds kMaxCanary{10'000};
constexpr double kLoadEnd = 0.75;
constexpr milliseconds kMaxLoad{20'000};
/// From here on, less evidence suffices.
constexpr double kLastStart = 0.78;
constexpr double kOpenPart = 0.08;
constexpr double kLateOpenPart = 0.3;
constexpr milliseconds kMaxOpen{3'000};
constexpr milliseconds kMinOpen{400};
/// Time kept in reserve before the deadline.
constexpr double kReserve = 0.08;
constexpr milliseconds kMinReserve{500};
constexpr milliseconds kMaxReserve{2'000};
/// Latest time before the deadline at which the rollout ends although some entries have not
/// confirmed that they use no other version.
constexpr milliseconds kLastMoment{400};
/// Time for which all targets of the version may be missing, as when they restart.
constexpr milliseconds kVanished{1'500};
/// Time over which the load phase spreads the exposure that is allowed at present.
constexpr double kLoadBurstSeconds = 1.2;
/// Requests a second to the version in the load phase at most, so that few are bad before the
/// evidence has arrived.
constexpr double kMaxLoadRate = 120;
/// Share of the targets that carry the load, in proportion to the share of the requests. Below 1,
/// so that a fault that begins just below the usual load shows.
constexpr double kLoadConcentration = 0.85;
/// Windows in which evidence is judged besides all of it, so that a fault that begins late is not
/// outweighed by earlier successes.
constexpr milliseconds kWindows[] = {milliseconds(1'000), milliseconds(3'000)};
constexpr milliseconds kHistory{4'000};
constexpr milliseconds kRateWindow{2'000};
/// Grants that may be given until the next record is written, in seconds of their expected rate.
constexpr double kCommitSeconds = 2;
constexpr double kMinCommit = 16;

double Seconds(time_point::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

milliseconds Part(double part, milliseconds whole) {
  return std::chrono::duration_cast<milliseconds>(part * whole);
}

std::string Describe(const std::string& route, const route_verdict& verdict) {
  char text[200];
  std::snprintf(text, sizeof(text), "%llu of %llu responses bad, %llu of %llu of other versions",
                static_cast<unsigned long long>(verdict.ordered.bad),
                static_cast<unsigned long long>(verdict.ordered.requests),
                static_cast<unsigned long long>(verdict.others.bad),
                static_cast<unsigned long long>(verdict.others.requests));
  return (route.empty() ? "all routes: " : "route " + route + ": ") + text;
}

}  // namespace

rollout_plan::rollout_plan(rollout_record record, rollout_bounds bounds, std::string conductor,
                           std::uint64_t epoch, time_point now)
    : bounds_(bounds),
      started_at_(now),
      elapsed_before_(record.elapsed),
      phase_at_(now),
      base_(record.committed),
      committed_(record.committed) {
  state_.order = std::move(record.order);
  state_.phase = record.phase;
  state_.conductor = std::move(conductor);
  state_.epoch = epoch;
  state_.excluded = std::move(record.excluded);
  state_.reason = std::move(record.reason);
  // Evidence of a canary is collected anew; entries report their totals to the new conductor.
  if (NeedsGrants(state_.phase) || state_.phase == rollout_phase::kOrdered) {
    state_.phase = rollout_phase::kWaiting;
  }
  SetShare(now);
}

milliseconds rollout_plan::Elapsed(time_point now) const {
  return elapsed_before_ + std::chrono::duration_cast<milliseconds>(now - started_at_);
}

milliseconds rollout_plan::Deadline() const {
  const milliseconds duration = state_.order.duration;
  return duration - std::clamp(Part(kReserve, duration), kMinReserve, kMaxReserve);
}

double rollout_plan::Allowance() const {
  return kSafeShare * bounds_.expose_share * static_cast<double>(requests_) +
         kSafeSlack * bounds_.expose_slack;
}

bool rollout_plan::TakeGrant(double limit) {
  const std::uint64_t granted = Granted();
  if (static_cast<double>(granted + 1) > limit || granted + 1 > committed_) return false;
  ++outstanding_;
  return true;
}

void rollout_plan::Grant(entry_record& entry, std::uint64_t new_requests, bool is_new) {
  if (!NeedsGrants(state_.phase)) return;
  const double preplaced_limit = kPreplacedPart * kSafeSlack * bounds_.expose_slack;
  if (is_new && static_cast<double>(preplaced_ + 1) <= preplaced_limit && TakeGrant(Allowance())) {
    ++preplaced_;
    ++entry.granted;
  }
  carry_ = std::min(carry_ + state_.share * static_cast<double>(new_requests),
                    static_cast<double>(new_requests) + 1);
  while (carry_ >= 1 && TakeGrant(Allowance())) {
    carry_ -= 1;
    ++entry.granted;
  }
}

rollout_report_reply rollout_plan::OnReport(const rollout_report& report, time_point) {
  rollout_report_reply reply{state_, state_.epoch, 0};
  if (report.order != state_.order.number) return reply;
  const auto [found, added] = entries_.try_emplace({report.sender, report.incarnation});
  entry_record& entry = found->second;
  if (report.number <= entry.number) {
    reply.granted = entry.granted;
    return reply;
  }
  entry.number = report.number;
  const std::uint64_t new_requests =
      report.requests > entry.requests ? report.requests - entry.requests : 0;
  requests_ += new_requests;
  entry.requests += new_requests;
  if (report.exposed > entry.exposed) {
    exposed_ += report.exposed - entry.exposed;
    entry.exposed = report.exposed;
  }
  for (const rollout_counts& each : report.counts) {
    version_figures& known = entry.figures[{each.ordered, each.route}];
    if (each.figures.requests < known.requests) continue;
    route_evidence& route = evidence_[each.route];
    (each.ordered ? route.ordered : route.others) += each.figures - known;
    known = each.figures;
  }
  entry.other_in_flight = report.other_in_flight;
  if (report.seen_epoch == state_.epoch) entry.seen_sequence = report.seen_sequence;
  const bool same_epoch = report.grant_epoch == state_.epoch;
  const std::uint64_t returned = same_epoch ? std::min(report.returned, entry.granted) : 0;
  if (returned > entry.returned) {
    outstanding_ -= returned - entry.returned;
    entry.returned = returned;
  }
  // The requests of the first report may have been made long before this conductor began.
  if (same_epoch) Grant(entry, added ? 0 : new_requests, added || entry.granted == 0);
  reply.granted = entry.granted;
  return reply;
}

double rollout_plan::Rate(time_point now) const {
  for (const snapshot& each : history_) {
    if (now - each.at > kRateWindow || now <= each.at) continue;
    return static_cast<double>(requests_ - each.requests) / Seconds(now - each.at);
  }
  return 0;
}

void rollout_plan::SetPhase(rollout_phase phase, std::string reason, time_point now) {
  state_.phase = phase;
  state_.reason = std::move(reason);
  phase_at_ = now;
  phase_evidence_ = evidence_;
  carry_ = 0;
  closing_sequence_ = 0;
  SetShare(now);
}

void rollout_plan::SetShare(time_point now) {
  state_.target_fraction = 1;
  const double rate = Rate(now);
  switch (state_.phase) {
    case rollout_phase::kOrdered:
    case rollout_phase::kWaiting:
    case rollout_phase::kRolledBack:
      state_.share = 0;
      return;
    case rollout_phase::kCanary: {
      const double span =
          Seconds(std::min(Part(kCanaryEnd, Deadline() - Elapsed(targets_at_)), kMaxCanary));
      const double wanted = kWantedResponses / std::max(1.0, rate * span);
      const bool begins = Seconds(now - phase_at_) < span / 4;
      state_.share = std::clamp(wanted, begins ? kFirstShare : kCanaryShare, kMaxCanaryShare);
      return;
    }
    case rollout_phase::kLoad: {
      const double available = Allowance() - static_cast<double>(Granted());
      const double burst = available / std::max(1.0, rate * kLoadBurstSeconds);
      const double most =
          std::clamp(kMaxLoadRate / std::max(1.0, rate), kCanaryShare, kMaxCanaryShare);
      state_.share = std::clamp(kSafeShare * bounds_.expose_share + burst, kCanaryShare, most);
      state_.target_fraction = kLoadConcentration * state_.share;
      return;
    }
    case rollout_phase::kHalf:
      state_.share = 0.5;
      return;
    case rollout_phase::kFull:
    case rollout_phase::kClosing:
    case rollout_phase::kSucceeded:
      state_.share = 1;
      return;
  }
}

void rollout_plan::Abandon(std::string reason) {
  state_.phase = rollout_phase::kRolledBack;
  state_.reason = std::move(reason);
  state_.share = 0;
}

bool rollout_plan::RollBackIfBad(time_point now) {
  suspicious_ = false;
  std::vector<rollout_evidence> windows = {evidence_, evidence_ - phase_evidence_};
  for (const milliseconds window : kWindows) {
    for (const snapshot& each : history_) {
      if (now - each.at > window) continue;
      windows.push_back(evidence_ - each.evidence);
      break;
    }
  }
  for (const rollout_evidence& window : windows) {
    for (const auto& [route, verdict] : Judge(window, evidence_)) {
      suspicious_ = suspicious_ || verdict.suspicious;
      if (!verdict.bad) continue;
      SetPhase(rollout_phase::kRolledBack, Describe(route, verdict), now);
      return true;
    }
  }
  return false;
}

bool rollout_plan::HasEvidence(const rollout_evidence& evidence, std::uint64_t needed) const {
  std::uint64_t ordered = 0;
  std::uint64_t others = 0;
  for (const auto& [route, each] : evidence) {
    ordered += each.ordered.requests;
    others += each.others.requests;
  }
  if (ordered < needed) return false;
  if (needed <= kFewResponses) return true;
  for (const auto& [route, each] : evidence_) {
    const bool used =
        static_cast<double>(each.others.requests) > kRouteShare * static_cast<double>(others);
    if (used && each.ordered.requests < kRouteResponses) return false;
  }
  return true;
}

bool rollout_plan::AllClosed(const rollout_fleet& fleet) const {
  if (closing_sequence_ == 0) return false;
  std::set<std::string> closed;
  for (const auto& [key, entry] : entries_) {
    const bool confirmed = entry.seen_sequence >= closing_sequence_ && entry.other_in_flight == 0;
    if (confirmed) closed.insert(key.first);
  }
  return std::includes(closed.begin(), closed.end(), fleet.entries.begin(), fleet.entries.end());
}

bool rollout_plan::Step(const rollout_fleet& fleet, time_point now) {
  if (IsFinal(state_.phase)) return false;
  const rollout_phase before = state_.phase;
  const bool proven = before >= rollout_phase::kHalf;
  const milliseconds elapsed = Elapsed(now);
  while (!history_.empty() && now - history_.front().at > kHistory) history_.pop_front();
  if (RollBackIfBad(now)) return true;
  history_.push_back({now, requests_, evidence_});
  if (fleet.ordered_targets > 0) {
    if (targets_at_ == time_point{}) targets_at_ = now;
    targets_seen_at_ = now;
  } else if (proven && now - targets_seen_at_ <= kVanished) {
    return false;
  }
  if (fleet.ordered_targets == 0) {
    targets_at_ = {};
    if (elapsed >= Deadline()) {
      SetPhase(rollout_phase::kRolledBack, "the version has no targets", now);
    } else if (before != rollout_phase::kWaiting) {
      SetPhase(rollout_phase::kWaiting, "the targets of the version are gone", now);
    }
    return state_.phase != before;
  }
  // A successor that continues with a proven version has no history of its targets.
  const milliseconds ready = Elapsed(targets_at_);
  const milliseconds usable = std::max(milliseconds(1), Deadline() - ready);
  const milliseconds since = elapsed - ready;
  const milliseconds canary_end = std::min(Part(kCanaryEnd, usable), kMaxCanary);
  const milliseconds load_end = std::min(Part(kLoadEnd, usable), kMaxLoad);
  const milliseconds last_start = Part(kLastStart, usable);
  // After a change of the conductor, little time may be left.
  const milliseconds open =
      std::clamp(std::min(Part(kOpenPart, usable), Part(kLateOpenPart, Deadline() - elapsed)),
                 kMinOpen, kMaxOpen);
  const milliseconds in_phase = std::chrono::duration_cast<milliseconds>(now - phase_at_);
  const bool last = since >= last_start;
  const bool few_enough = last && HasEvidence(evidence_, kFewResponses);
  if (!proven && elapsed >= Deadline()) {
    SetPhase(rollout_phase::kRolledBack, "no verdict is possible before the deadline", now);
    return true;
  }
  switch (before) {
    case rollout_phase::kOrdered:
    case rollout_phase::kWaiting:
      SetPhase(rollout_phase::kCanary, "the version has targets", now);
      break;
    case rollout_phase::kCanary:
      if (suspicious_ || since < canary_end) break;
      if (HasEvidence(evidence_, kCanaryResponses) || few_enough) {
        SetPhase(rollout_phase::kLoad, "no worse than other versions", now);
      }
      break;
    case rollout_phase::kLoad:
      if (suspicious_ || since < load_end) break;
      if (HasEvidence(evidence_ - phase_evidence_, kLoadResponses) || few_enough) {
        SetPhase(rollout_phase::kHalf, "no worse than other versions under load", now);
      }
      break;
    case rollout_phase::kHalf:
      if (!suspicious_ && in_phase >= open) {
        SetPhase(rollout_phase::kFull, "no worse at half of the traffic", now);
      }
      break;
    case rollout_phase::kFull:
      if (!suspicious_ && in_phase >= open) {
        SetPhase(rollout_phase::kClosing, "no worse at all of the traffic", now);
      }
      break;
    case rollout_phase::kClosing: {
      const bool late = elapsed >= state_.order.duration - kLastMoment;
      if (AllClosed(fleet)) {
        SetPhase(rollout_phase::kSucceeded, "all entries use the version only", now);
      } else if (late) {
        SetPhase(rollout_phase::kSucceeded, "at the deadline, some entries have not confirmed",
                 now);
      }
      break;
    }
    case rollout_phase::kSucceeded:
    case rollout_phase::kRolledBack:
      break;
  }
  SetShare(now);
  return state_.phase != before;
}

rollout_state rollout_plan::NextState() {
  ++state_.sequence;
  const bool begins_closing = state_.phase == rollout_phase::kClosing && closing_sequence_ == 0;
  if (begins_closing) closing_sequence_ = state_.sequence;
  return state_;
}

rollout_record rollout_plan::MakeRecord(time_point now) {
  const double expected = Rate(now) * state_.share * kCommitSeconds;
  const auto ahead = static_cast<std::uint64_t>(std::max(kMinCommit, expected));
  // The first grants are placed at many entries at once.
  const auto preplaced =
      static_cast<std::uint64_t>(kPreplacedPart * kSafeSlack * bounds_.expose_slack) - preplaced_;
  const bool grants = NeedsGrants(state_.phase) || state_.phase == rollout_phase::kWaiting;
  const std::uint64_t committed = Granted() + (grants ? ahead + preplaced : 0);
  return {state_.order,    state_.phase, Elapsed(now), std::max(committed_, committed),
          state_.excluded, state_.reason};
}

void rollout_plan::OnRecorded(const rollout_record& record) {
  if (record.order == state_.order) committed_ = std::max(committed_, record.committed);
}

}  // namespace catkinmoor
