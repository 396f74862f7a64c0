#include "quota_fleet.h"

#include <algorithm>

namespace catkinmoor {
namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kAskTimeout{400};
constexpr milliseconds kMaxWait{300};
constexpr milliseconds kRunTime{100};
constexpr milliseconds kStoreTime{5};

}  // namespace

quota_fleet::quota_fleet(options chosen) : options_(std::move(chosen)), random_(options_.seed) {
  members_.resize(options_.daemons);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].vm = "vm-" + std::to_string(i);
    Start(members_[i]);
    OnDaemon(i, milliseconds(static_cast<int>(random_() % 10)), [this, i] { Tick(i); });
  }
}

void quota_fleet::Start(member& of) {
  of.holder = std::make_unique<permit_holder>(of.vm, of.incarnation);
  of.holder->SetDaemonCount(members_.size());
  of.claim = std::make_unique<authority_claim>(of.vm, of.incarnation, ClaimDelay(of.vm, 0.5));
  of.authority.reset();
  of.finder = {};
  of.waiting.clear();
  of.next_watch = now_;
  of.row_read_at = {};
  ++of.ask_number;
}

bool quota_fleet::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

milliseconds quota_fleet::Delay() {
  return milliseconds(1 + static_cast<std::int64_t>(
                              random_() % static_cast<std::uint64_t>(max_message_delay.count())));
}

std::size_t quota_fleet::IndexOf(const std::string& vm) const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].vm == vm) return i;
  }
  return members_.size();
}

void quota_fleet::At(milliseconds time, std::function<void()> action) {
  events_.emplace(Time(time), std::move(action));
}

void quota_fleet::OnDaemon(std::size_t daemon, milliseconds delay, std::function<void()> action) {
  const std::uint64_t incarnation = members_[daemon].incarnation;
  events_.emplace(now_ + delay, [this, daemon, incarnation, action = std::move(action)] {
    member& of = members_[daemon];
    if (of.incarnation != incarnation) return;
    if (of.paused_until > now_) {
      const auto left = std::chrono::ceil<milliseconds>(of.paused_until - now_);
      OnDaemon(daemon, left, action);
      return;
    }
    action();
  });
}

void quota_fleet::RunUntil(milliseconds time) {
  while (!events_.empty() && events_.begin()->first <= Time(time)) {
    now_ = events_.begin()->first;
    auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
  now_ = Time(time);
}

bool quota_fleet::IsAuthority(const member& of) const { return of.claim->IsAuthority(now_); }

std::optional<std::size_t> quota_fleet::Authority() const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (IsAuthority(members_[i])) return i;
  }
  return std::nullopt;
}

void quota_fleet::Tick(std::size_t daemon) {
  member& of = members_[daemon];
  if (IsAuthority(of)) {
    if (!of.authority || of.authority->Epoch() != of.claim->Epoch()) {
      of.authority = std::make_unique<permit_authority>(of.vm, of.claim->Epoch(), options_.settings,
                                                        of.claim->PredecessorSettled()
                                                            ? predecessor_state::kSettled
                                                            : predecessor_state::kUnsettled,
                                                        of.claim->ClaimedAt());
      of.authority->SetLimits(options_.workspaces, now_);
    }
  } else {
    of.authority.reset();
  }
  std::size_t authorities = 0;
  for (const member& each : members_) authorities += IsAuthority(each) ? 1 : 0;
  most_authorities_ = std::max(most_authorities_, authorities);
  if (daemon < kAuthorityCandidates && now_ >= of.next_watch) {
    of.next_watch = now_ + kAuthorityRenewInterval;
    Watch(daemon, true);
  }
  std::vector<std::string> candidates;
  for (std::size_t i = 0; i < std::min(kAuthorityCandidates, members_.size()); ++i) {
    candidates.push_back(members_[i].vm);
  }
  const bool fresh = now_ - of.row_read_at < kMaxReadGap;
  of.finder.Update(*of.holder, fresh ? of.claim->LastRow() : std::nullopt, candidates);
  const auto due = of.holder->NextAskAt(now_);
  if (due && *due <= now_) Ask(daemon);
  OnDaemon(daemon, kTick, [this, daemon] { Tick(daemon); });
}

void quota_fleet::Watch(std::size_t daemon, bool may_write) {
  ++store_calls_;
  if (store_refuses.contains(daemon)) return;
  const boot_time_point sent_at = now_;
  events_.emplace(now_ + kStoreTime, [this, daemon, sent_at, may_write] {
    const std::optional<stored_row> row = row_;
    const std::uint64_t era = era_;
    OnDaemon(daemon, kStoreTime, [this, daemon, sent_at, may_write, row, era] {
      member& of = members_[daemon];
      of.claim->OnRead(row ? std::optional(row->row) : std::nullopt, row ? row->revision : 0,
                       options_.era_known ? std::optional(era) : std::nullopt, sent_at, now_);
      of.row_read_at = now_;
      if (!may_write) return;
      const bool settled = of.authority && of.authority->Settled(now_);
      if (auto claim = of.claim->NextWrite(settled, now_)) Write(daemon, std::move(*claim));
    });
  });
}

void quota_fleet::Write(std::size_t daemon, authority_claim::row_claim claim) {
  ++store_calls_;
  const bool is_claim = claim.row.renewal == 0;
  const milliseconds delay =
      Chance(delayed_writes) ? milliseconds(1'000 + random_() % 5'000) : kStoreTime;
  const bool answered = delay == kStoreTime && !Chance(lost_answers);
  events_.emplace(now_ + delay, [this, claim = std::move(claim)] {
    const std::uint64_t revision = row_ ? row_->revision : 0;
    if (revision != claim.expected_revision) return;
    row_ = stored_row{claim.row, next_revision_++};
    history_.emplace_back(now_, row_);
  });
  if (answered && is_claim) {
    OnDaemon(daemon, 2 * kStoreTime, [this, daemon] { Watch(daemon, false); });
  }
}

void quota_fleet::RestoreStore() {
  // The copy is up to 8 s old; what was written after it is lost, and its revisions are given out
  // again.
  const boot_time_point copied = now_ - milliseconds(random_() % 8'000);
  std::optional<stored_row> older;
  for (const auto& [at, row] : history_) {
    if (at <= copied) older = row;
  }
  row_ = older;
  next_revision_ = older ? older->revision + 1 : 1;
  history_.emplace_back(now_, row_);
  ++era_;
}

void quota_fleet::Ask(std::size_t daemon) {
  member& of = members_[daemon];
  const permit_ask ask = of.holder->BeginAsk(now_);
  const std::uint64_t number = ++of.ask_number;
  OnDaemon(daemon, kAskTimeout, [this, daemon, number] {
    member& asker = members_[daemon];
    if (asker.ask_number != number) return;
    ++asker.ask_number;
    asker.holder->OnAskFailed();
    Retry(daemon);
  });
  const std::size_t recipient = IndexOf(ask.recipient);
  ++messages_;
  const int copies = Chance(message_loss) ? 0 : (Chance(message_repeat) ? 2 : 1);
  if (recipient == members_.size() || cut_links.contains({daemon, recipient})) return;
  for (int i = 0; i < copies; ++i) {
    OnDaemon(recipient, Delay(),
             [this, recipient, daemon, ask] { Receive(recipient, daemon, ask); });
  }
}

permit_reply quota_fleet::Answer(member& of, const permit_ask& ask) {
  if (IsAuthority(of) && of.authority) return of.authority->Answer(ask, now_);
  permit_reply reply{permit_verdict::kNotAuthority, ask.sequence, 0, "", {}};
  const auto& row = of.claim->LastRow();
  if (row && !row->released && now_ - of.row_read_at < kMaxReadGap) {
    reply.authority = row->vm;
    reply.epoch = row->epoch;
  }
  return reply;
}

void quota_fleet::Receive(std::size_t daemon, std::size_t sender, const permit_ask& ask) {
  const permit_reply reply = Answer(members_[daemon], ask);
  if (Chance(message_loss) || cut_links.contains({daemon, sender})) return;
  OnDaemon(sender, Delay(), [this, sender, reply, sequence = ask.sequence] {
    member& asker = members_[sender];
    asker.holder->OnReply(reply, now_);
    if (reply.sequence == sequence) ++asker.ask_number;
    Retry(sender);
  });
}

void quota_fleet::SendLoad(std::size_t daemon, const std::string& workspace, double rate,
                           milliseconds from, milliseconds to) {
  if (rate <= 0) return;
  std::exponential_distribution<> gap(rate);
  for (double at = static_cast<double>(from.count()) / 1'000 + gap(random_);
       at * 1'000 < static_cast<double>(to.count()); at += gap(random_)) {
    At(milliseconds(static_cast<std::int64_t>(at * 1'000)),
       [this, daemon, workspace] { Arrive(daemon, workspace); });
  }
}

void quota_fleet::Arrive(std::size_t daemon, const std::string& workspace) {
  // Callers turn to another daemon when one does not respond.
  if (members_[daemon].paused_until > now_) return;
  members_[daemon].holder->OnRequest(workspace, now_);
  const waiting_request request{workspace, now_, now_ + kMaxWait};
  if (TryAdmit(daemon, request)) return;
  members_[daemon].holder->BeginWait(workspace);
  members_[daemon].waiting.push_back(request);
  OnDaemon(daemon, kMaxWait, [this, daemon] { Retry(daemon); });
}

bool quota_fleet::TryAdmit(std::size_t daemon, const waiting_request& request) {
  member& of = members_[daemon];
  auto taken = of.holder->Take(request.workspace, now_);
  if (const auto* granted = std::get_if<permit>(&taken)) {
    requests_.push_back({request.arrived, request.workspace, 0});
    // One request in 20 is refused by its gate without having run.
    const bool runs = !Chance(0.05);
    const auto run_after = milliseconds(random_() % kRunTime.count());
    if (runs) runs_[request.workspace].push_back(now_ + run_after);
    OnDaemon(daemon, kRunTime, [this, daemon, runs, used = *granted] {
      members_[daemon].holder->Settle(used, runs);
    });
    return true;
  }
  const auto& refused = std::get<permit_refusal>(taken);
  if (refused.why == permit_refusal::cause::kPending && now_ < request.until) return false;
  const bool over = refused.why == permit_refusal::cause::kOverLimit;
  requests_.push_back({request.arrived, request.workspace, over ? 1 : 2});
  return true;
}

void quota_fleet::Retry(std::size_t daemon) {
  member& of = members_[daemon];
  std::vector<waiting_request> waiting;
  waiting.swap(of.waiting);
  for (const waiting_request& each : waiting) {
    if (TryAdmit(daemon, each)) {
      of.holder->EndWait(each.workspace);
    } else {
      of.waiting.push_back(each);
    }
  }
}

void quota_fleet::Pause(std::size_t daemon, milliseconds duration) {
  members_[daemon].paused_until = now_ + duration;
}

void quota_fleet::Restart(std::size_t daemon) {
  member& of = members_[daemon];
  ++of.incarnation;
  of.paused_until = {};
  Start(of);
  OnDaemon(daemon, milliseconds(500), [this, daemon] { Tick(daemon); });
}

void quota_fleet::Release(std::size_t daemon) {
  if (auto released = members_[daemon].claim->Release()) Write(daemon, std::move(*released));
}

void quota_fleet::SetLimits(std::vector<workspace> workspaces) {
  options_.workspaces = std::move(workspaces);
  for (member& each : members_) {
    if (each.authority) each.authority->SetLimits(options_.workspaces, now_);
  }
}

quota_fleet::outcome_counts quota_fleet::Count(const std::string& workspace, milliseconds from,
                                               milliseconds to) const {
  outcome_counts counts;
  for (const record& each : requests_) {
    if (each.workspace != workspace || each.at < Time(from) || each.at >= Time(to)) continue;
    ++(each.outcome == 0 ? counts.admitted
                         : (each.outcome == 1 ? counts.over_limit : counts.no_authority));
  }
  return counts;
}

int quota_fleet::LargestWindow(const std::string& workspace, milliseconds from) const {
  const auto found = runs_.find(workspace);
  if (found == runs_.end()) return 0;
  std::vector<boot_time_point> runs;
  for (const boot_time_point each : found->second) {
    if (each >= Time(from)) runs.push_back(each);
  }
  std::sort(runs.begin(), runs.end());
  std::size_t largest = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < runs.size(); ++end) {
    while (runs[end] - runs[begin] >= options_.settings.window) ++begin;
    largest = std::max(largest, end - begin + 1);
  }
  return static_cast<int>(largest);
}

double quota_fleet::Bound(const std::string& workspace) const {
  for (const auto& each : options_.workspaces) {
    if (each.name != workspace) continue;
    const double seconds = std::chrono::duration<double>(options_.settings.window).count();
    return (each.requests_per_second * seconds + each.burst) * (1 + options_.settings.overage) +
           options_.settings.slack;
  }
  return 0;
}

}  // namespace catkinmoor
