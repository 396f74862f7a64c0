#include "quota/permit_holder.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

constexpr milliseconds kAskInterval{1'000};
constexpr milliseconds kMinAskInterval{50};
/// Added up over the daemons, asks at this distance are about 330 a second when all daemons are
/// short of permits. An authority that got 800 could no longer answer on a vm of 0.1 cores.
constexpr milliseconds kAskIntervalPerDaemon{3};
constexpr milliseconds kMaxAskInterval{500};
/// Permits that end before the next regular ask will be answered are renewed.
constexpr milliseconds kRenewBefore{1'200};
/// Time constant of the demand estimate.
constexpr double kDemandSeconds = 1;
/// Permits are asked for ahead only if this many requests are expected; a lone request asks at
/// once.
constexpr double kMinTarget = 0.3;
/// Share of the permits that are wanted ahead below which they are asked for at once.
constexpr double kLowShare = 0.35;
/// Smaller targets are renewed when a request needs a permit, to save messages.
constexpr double kMinAheadUrgent = 3;
constexpr double kForgottenDemand = 0.01;
/// Failed asks after which requests are refused without waiting for the next one.
constexpr int kMaxFailures = 2;
constexpr milliseconds kRetryAfterFailure{300};

double Seconds(std::chrono::duration<double> duration) { return duration.count(); }

}  // namespace

void permit_holder::SetAuthority(const std::string& vm, std::uint64_t epoch) {
  if (vm == authority_ && epoch == epoch_) return;
  authority_ = vm;
  epoch_ = epoch;
  // A candidate that is only presumed to know the authority does not count as found.
  if (epoch != 0) failures_ = 0;
  for (auto& [name, each] : workspaces_) each.refused_until = {};
}

void permit_holder::SetDaemonCount(std::size_t count) {
  min_ask_interval_ = std::clamp(kAskIntervalPerDaemon * static_cast<std::int64_t>(count),
                                 kMinAskInterval, kMaxAskInterval);
}

double permit_holder::Demand(const holding& of, boot_time_point now) {
  return of.demand * std::exp(-Seconds(now - of.demand_at) / kDemandSeconds);
}

double permit_holder::Target(const holding& of, boot_time_point now) {
  const double target = Demand(of, now) * Seconds(of.ahead);
  return target < kMinTarget ? 0 : std::ceil(target);
}

std::uint32_t permit_holder::Free(const holding& of, boot_time_point now) {
  std::uint32_t free = 0;
  for (const held_grant& each : of.grants) {
    if (each.ends > now) free += each.free;
  }
  return free;
}

bool permit_holder::IsUrgent(const holding& of, boot_time_point now) {
  const std::uint32_t free = Free(of, now);
  const double target = Target(of, now);
  return (of.waiting > 0 && free == 0) || (target >= kMinAheadUrgent && free < kLowShare * target);
}

bool permit_holder::Current(const held_grant& grant) const {
  return grant.authority == authority_ && grant.epoch == epoch_;
}

void permit_holder::OnRequest(const std::string& workspace, boot_time_point now) {
  holding& of = workspaces_[workspace];
  of.demand = Demand(of, now) + 1 / kDemandSeconds;
  of.demand_at = now;
}

std::variant<permit, permit_refusal> permit_holder::Take(const std::string& workspace,
                                                         boot_time_point now) {
  using cause = permit_refusal::cause;
  holding& of = workspaces_[workspace];
  // The grants end in the order in which they were asked for.
  for (held_grant& each : of.grants) {
    if (each.ends <= now || each.free == 0) continue;
    --each.free;
    ++each.used;
    return permit{workspace, each.authority, each.epoch, each.id};
  }
  if (authority_.empty() || failures_ >= kMaxFailures) {
    return permit_refusal{cause::kNoAuthority, kRetryAfterFailure};
  }
  if (of.refused_until <= now || !of.over_limit) {
    return permit_refusal{cause::kPending, kRetryAfterFailure};
  }
  const auto left = std::chrono::ceil<milliseconds>(of.refused_until - now);
  return permit_refusal{cause::kOverLimit, left};
}

void permit_holder::Settle(const permit& taken, bool may_have_run) {
  if (may_have_run) return;
  holding& of = workspaces_[taken.workspace];
  for (held_grant& each : of.grants) {
    const bool is_same =
        each.id == taken.grant && each.authority == taken.authority && each.epoch == taken.epoch;
    if (!is_same) continue;
    // A use that has been reported no longer counts as outstanding, so its permit must not be used
    // again.
    if (each.used > 0) {
      --each.used;
      ++each.free;
    }
    return;
  }
}

std::optional<boot_time_point> permit_holder::NextAskAt(boot_time_point now) const {
  if (asked_at_ || authority_.empty()) return std::nullopt;
  bool needed = false;
  std::optional<boot_time_point> urgent_at;
  for (const auto& [name, each] : workspaces_) {
    needed = needed || !each.grants.empty() || Target(each, now) > 0 || each.waiting > 0;
    if (!IsUrgent(each, now)) continue;
    const boot_time_point at = std::max(now, each.refused_until);
    urgent_at = urgent_at ? std::min(*urgent_at, at) : at;
  }
  if (!needed) return std::nullopt;
  if (!last_ask_at_) return now;
  const boot_time_point regular = *last_ask_at_ + kAskInterval;
  if (!urgent_at) return regular;
  const milliseconds pause = failures_ >= kMaxFailures ? kRetryAfterFailure : min_ask_interval_;
  return std::min(regular, std::max(*urgent_at, *last_ask_at_ + pause));
}

workspace_ask permit_holder::AskFor(const std::string& name, holding& of,
                                    boot_time_point now) const {
  workspace_ask ask{name, Demand(of, now), 0, {}};
  const auto target = static_cast<std::uint32_t>(Target(of, now));
  std::uint32_t kept = 0;
  // The permits that end last are kept first.
  for (auto each = of.grants.rbegin(); each != of.grants.rend(); ++each) {
    if (!Current(*each)) {
      kept += each->ends > now ? each->free : 0;
      continue;
    }
    permit_settlement settlement{each->id, each->used, 0};
    each->used = 0;
    const bool ends_soon = each->ends <= now + kRenewBefore;
    const std::uint32_t keep =
        ends_soon ? 0 : std::min(each->free, target + 1 > kept ? target + 1 - kept : 0);
    settlement.returned = each->free - keep;
    each->free = keep;
    kept += keep;
    if (settlement.used > 0 || settlement.returned > 0) ask.settlements.push_back(settlement);
  }
  std::erase_if(of.grants, [&](const held_grant& each) {
    // A request that was refused may still give its permit back.
    if (each.ends + (kPermitVoidAfter - kPermitValidity) <= now) return true;
    return each.free == 0 && each.used == 0;
  });
  const std::uint32_t wanted = target + static_cast<std::uint32_t>(std::max(0, of.waiting));
  if (of.refused_until <= now && wanted > kept) ask.wanted = wanted - kept;
  return ask;
}

permit_ask permit_holder::BeginAsk(boot_time_point now) {
  permit_ask ask{vm_, incarnation_, ++sequence_, authority_, epoch_, {}};
  for (auto& [name, each] : workspaces_) {
    workspace_ask part = AskFor(name, each, now);
    const bool idle = part.wanted == 0 && part.settlements.empty() && part.demand < kMinTarget;
    if (!idle) ask.workspaces.push_back(std::move(part));
  }
  std::erase_if(workspaces_, [&](const auto& entry) {
    const holding& of = entry.second;
    return of.grants.empty() && of.waiting <= 0 && of.refused_until <= now &&
           Demand(of, now) < kForgottenDemand;
  });
  asked_at_ = now;
  last_ask_at_ = now;
  return ask;
}

void permit_holder::OnReply(const permit_reply& reply, boot_time_point now) {
  // A reply to an earlier ask, which was given up, brings nothing: its grants become void.
  if (!asked_at_ || reply.sequence != sequence_) return;
  const boot_time_point asked_at = *asked_at_;
  asked_at_.reset();
  switch (reply.verdict) {
    case permit_verdict::kAnswered:
      break;
    case permit_verdict::kOtherEpoch:
    case permit_verdict::kNotAuthority:
      SetAuthority(reply.authority, reply.epoch);
      ++failures_;
      return;
    case permit_verdict::kOutOfOrder:
      ++failures_;
      return;
  }
  failures_ = 0;
  last_answer_at_ = now;
  for (const workspace_grant& each : reply.grants) {
    holding& of = workspaces_[each.workspace];
    of.ahead = each.ahead;
    if (each.granted > 0) {
      of.grants.push_back(
          {authority_, epoch_, reply.sequence, asked_at + kPermitValidity, each.granted, 0});
      of.refused_until = {};
    } else if (each.retry_after.count() > 0) {
      of.refused_until = now + each.retry_after;
      of.over_limit = each.over_limit;
    }
  }
}

void permit_holder::OnAskFailed() {
  asked_at_.reset();
  ++failures_;
}

std::optional<milliseconds> permit_holder::AnswerAge(boot_time_point now) const {
  if (!last_answer_at_) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - *last_answer_at_);
}

std::size_t permit_holder::FreePermits(boot_time_point now) const {
  std::size_t free = 0;
  for (const auto& [name, each] : workspaces_) free += Free(each, now);
  return free;
}

}  // namespace catkinmoor
