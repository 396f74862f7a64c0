#include "quota/permit_authority.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

/// Time after which the demand that a holder reported no longer counts.
constexpr milliseconds kDemandAge{3'000};
constexpr milliseconds kMaxAhead{1'750};
constexpr milliseconds kMinAhead{50};
/// Share of the largest number of outstanding permits that is granted ahead of demand. The rest is
/// for requests in progress and for permits whose use has not been reported.
constexpr double kAheadShare = 0.6;
/// Permits that a holder has on average beyond its demand, as it asks for whole ones.
constexpr double kHeldPerHolder = 1.5;
/// Least share of the rate for which permits are granted ahead, in case the demand returns at once.
constexpr double kMinDemandShare = 0.3;
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{1'500};

double Seconds(std::chrono::duration<double> duration) { return duration.count(); }

milliseconds Milliseconds(double seconds) {
  return milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1'000)));
}

}  // namespace

permit_authority::permit_authority(std::string vm, std::uint64_t epoch, quota_settings settings,
                                   predecessor_state predecessor, boot_time_point now)
    : vm_(std::move(vm)),
      epoch_(epoch),
      settings_(settings),
      predecessor_(predecessor),
      inherited_until_(now + kPermitVoidAfter) {}

double permit_authority::Capacity(const bucket& of) const {
  return of.burst + settings_.overage * (of.rate * Seconds(settings_.window) + of.burst) +
         settings_.slack;
}

double permit_authority::Limit(const bucket& of, boot_time_point now) const {
  if (Settled(now)) return Capacity(of);
  if (predecessor_ == predecessor_state::kUnsettled) return 0;
  return (1 - kMaxOutstandingShare) * Capacity(of);
}

void permit_authority::Refresh(bucket& of, boot_time_point now) const {
  while (!of.voids.empty() && of.voids.front().first <= now) {
    const auto found = of.grants.find(of.voids.front().second);
    if (found != of.grants.end()) {
      of.outstanding -= found->second;
      of.grants.erase(found);
    }
    of.voids.pop_front();
  }
  const double refill = of.rate * Seconds(now - of.refilled_at);
  of.refilled_at = now;
  of.level = std::max(0.0, std::min(of.level + refill, Limit(of, now) - of.outstanding));
}

void permit_authority::SetLimits(const std::vector<workspace>& workspaces, boot_time_point now) {
  std::map<std::string, bucket> limited;
  for (const workspace& each : workspaces) {
    if (each.requests_per_second <= 0) continue;
    const auto found = buckets_.find(each.name);
    bucket& updated = limited[each.name];
    if (found == buckets_.end()) {
      updated.refilled_at = now;
    } else {
      Refresh(found->second, now);
      updated = std::move(found->second);
    }
    updated.rate = each.requests_per_second;
    updated.burst = each.burst;
    Refresh(updated, now);
  }
  // The bucket of a workspace without a limit is kept while permits of it are outstanding, since
  // the limit may come back.
  for (auto& [name, each] : buckets_) {
    if (limited.contains(name)) continue;
    Refresh(each, now);
    each.rate = 0;
    if (each.outstanding > 0) limited[name] = std::move(each);
  }
  buckets_ = std::move(limited);
}

void permit_authority::Settle(bucket& of, const grant_key& key,
                              const permit_settlement& settlement) {
  const auto found = of.grants.find(key);
  // The grant may have become void, and its permits no longer count as outstanding then.
  if (found == of.grants.end()) return;
  const std::uint32_t used = std::min(settlement.used, found->second);
  const std::uint32_t returned = std::min(settlement.returned, found->second - used);
  found->second -= used + returned;
  of.outstanding -= used + returned;
  of.level += returned;
  if (found->second == 0) of.grants.erase(found);
}

workspace_grant permit_authority::Grant(bucket& from, const workspace_ask& ask,
                                        const permit_ask& message, boot_time_point now) const {
  from.demands[message.sender] = {ask.demand, now};
  double total_demand = 0;
  std::erase_if(from.demands,
                [&](const auto& each) { return each.second.reported_at < now - kDemandAge; });
  for (const auto& [holder, reported] : from.demands) total_demand += reported.demand;
  const double share = total_demand > 0 ? std::min(1.0, ask.demand / total_demand) : 1;
  const double limit = Limit(from, now);
  const double most_outstanding = std::min(limit, kMaxOutstandingShare * Capacity(from));
  const double available = std::floor(std::min(from.level, most_outstanding - from.outstanding));
  double granted = std::min(static_cast<double>(ask.wanted), std::max(0.0, available));
  // When permits are scarce, nobody gets those that others will need.
  const bool scarce = from.level < limit / 4;
  if (scarce) granted = std::min(granted, std::max(1.0, std::ceil(available * share)));
  workspace_grant grant{ask.workspace, static_cast<std::uint32_t>(granted)};
  const double held_at_least = kHeldPerHolder * static_cast<double>(from.demands.size());
  const double ahead = (kAheadShare * most_outstanding - held_at_least) /
                       std::max(kMinDemandShare * from.rate, total_demand);
  grant.ahead = std::clamp(Milliseconds(ahead), kMinAhead, kMaxAhead);
  if (grant.granted > 0) {
    const grant_key key{message.sender, message.incarnation, message.sequence};
    from.level -= granted;
    from.outstanding += granted;
    from.grants[key] = grant.granted;
    from.voids.emplace_back(now + kPermitVoidAfter, key);
  } else if (ask.wanted > 0) {
    // The time in which the holder's share of the refill amounts to one permit.
    const double wait = 1 / (from.rate * std::max(share, 0.01));
    grant.retry_after = std::clamp(Milliseconds(wait), kMinRetryAfter, kMaxRetryAfter);
    // Otherwise there is room as soon as holders have reported or returned permits.
    const bool idle_elsewhere = from.outstanding > most_outstanding / 2;
    const bool over_rate = total_demand > from.rate;
    grant.over_limit = from.level < 1 && (over_rate || (Settled(now) && !idle_elsewhere));
    if (!grant.over_limit) grant.retry_after = kMinRetryAfter;
  }
  return grant;
}

permit_reply permit_authority::Answer(const permit_ask& ask, boot_time_point now) {
  permit_reply reply{permit_verdict::kAnswered, ask.sequence, epoch_, vm_, {}};
  if (ask.recipient != vm_) {
    reply.verdict = permit_verdict::kNotAuthority;
    reply.authority.clear();
    return reply;
  }
  if (ask.epoch != epoch_) {
    reply.verdict = permit_verdict::kOtherEpoch;
    return reply;
  }
  holder_progress& progress = holders_[ask.sender];
  const bool in_order =
      ask.incarnation > progress.incarnation ||
      (ask.incarnation == progress.incarnation && ask.sequence > progress.sequence);
  if (!in_order) {
    reply.verdict = permit_verdict::kOutOfOrder;
    return reply;
  }
  progress = {ask.incarnation, ask.sequence};
  for (const workspace_ask& each : ask.workspaces) {
    const auto found = buckets_.find(each.workspace);
    if (found == buckets_.end() || found->second.rate <= 0) {
      // The holder has a newer configuration.
      reply.grants.push_back({each.workspace, 0, kMinAhead, kMinRetryAfter, false});
      continue;
    }
    bucket& asked = found->second;
    Refresh(asked, now);
    for (const permit_settlement& settlement : each.settlements) {
      Settle(asked, {ask.sender, ask.incarnation, settlement.grant}, settlement);
    }
    // Returned permits never raise the level above the limit, which may have been lowered.
    Refresh(asked, now);
    reply.grants.push_back(Grant(asked, each, ask, now));
  }
  return reply;
}

std::vector<bucket_level> permit_authority::Levels(boot_time_point now) {
  std::vector<bucket_level> levels;
  for (auto& [name, each] : buckets_) {
    Refresh(each, now);
    levels.push_back({name, each.level, each.outstanding, Capacity(each)});
  }
  return levels;
}

}  // namespace catkinmoor
