#include "distribution/quota_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr const char* kRowKey = "quota/authority";
/// Each daemon has one ask under way, so that an authority that is slow gets fewer. With a timeout
/// below its response time it would answer only asks that have been given up.
constexpr milliseconds kAskTimeout{1'500};
/// Time between checks whether an ask is due. A request that waits for a permit is not held up by
/// it.
constexpr milliseconds kAskCheckInterval{100};
/// Time without an answer of an authority after which a daemon that is no candidate reads the row.
constexpr milliseconds kSearchDelay{10'000};
/// Time without a refusal after which the next one is logged.
constexpr milliseconds kRefusalLogInterval{30'000};

}  // namespace

quota_controller::quota_controller(asio::io_context& context, quota_dependencies deps,
                                   quota_identity identity, quota_settings settings)
    : context_(context),
      deps_(deps),
      identity_(std::move(identity)),
      settings_(settings),
      ask_timer_(context),
      watch_timer_(context),
      holder_(identity_.vm, identity_.incarnation),
      claim_(identity_.vm, identity_.incarnation,
             ClaimDelay(identity_.vm, identity_.processor_share)),
      searching_since_(BootNow()) {
  claim_.SetControl(identity_.control);
}

void quota_controller::Start() {
  if (!Enabled()) return;
  asio::co_spawn(context_, ExchangePermits(), asio::detached);
  asio::co_spawn(context_, WatchRow(), asio::detached);
}

void quota_controller::Stop() {
  stopping_ = true;
  ask_timer_.cancel();
  watch_timer_.cancel();
}

void quota_controller::Release() {
  // Nothing is claimed from now on.
  watch_timer_.cancel();
  auto released = claim_.Release();
  UpdateAuthority();
  stopping_ = true;
  if (released) asio::co_spawn(context_, WriteRelease(std::move(*released)), asio::detached);
}

asio::awaitable<void> quota_controller::WriteRelease(authority_claim::row_claim released) {
  std::vector<row_write> writes = {
      {kRowKey, SerializeAuthorityRow(released.row), released.expected_revision}};
  const auto written = co_await deps_.platform.Transact(std::move(writes));
  if (!Ok(written)) logging::Warning("quota authority's row not released", Failure(written));
}

asio::awaitable<std::variant<permit, permit_refusal>> quota_controller::Take(std::string workspace,
                                                                             time_point wait_end) {
  const auto executor = co_await asio::this_coro::executor;
  std::shared_ptr<asio::steady_timer> timer;
  std::variant<permit, permit_refusal> taken;
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      const boot_time_point now = BootNow();
      if (timer == nullptr) holder_.OnRequest(workspace, now);
      taken = holder_.Take(workspace, now);
      const auto* refusal = std::get_if<permit_refusal>(&taken);
      const bool pending = refusal != nullptr && refusal->why == permit_refusal::cause::kPending;
      const bool waits = pending && Now() < wait_end && !stopping_;
      if (!waits) {
        if (timer != nullptr) {
          holder_.EndWait(workspace);
          waiting_.erase(timer);
        }
        break;
      }
      if (timer == nullptr) {
        timer = std::make_shared<asio::steady_timer>(executor);
        holder_.BeginWait(workspace);
        waiting_.insert(timer);
        asio::post(context_, [this] { ask_timer_.cancel(); });
      }
    }
    timer->expires_at(wait_end);
    co_await timer->async_wait(kAwait);
  }
  if (const auto* refusal = std::get_if<permit_refusal>(&taken)) {
    CountRefusal(workspace, *refusal);
  } else {
    deps_.metrics.IncrementCounter("catkinmoor_quota_admitted_total");
  }
  co_return taken;
}

void quota_controller::CountRefusal(const std::string& workspace, const permit_refusal& refusal) {
  const bool over_limit = refusal.why == permit_refusal::cause::kOverLimit;
  const char* reason = over_limit ? "over-limit" : "quota-unavailable";
  deps_.metrics.IncrementCounter("catkinmoor_quota_refused_total", {{"reason", reason}});
  const time_point now = Now();
  {
    const std::lock_guard lock(mutex_);
    const auto [found, first] = last_refusals_.try_emplace(workspace, now);
    const bool logged_lately = !first && now - found->second < kRefusalLogInterval;
    found->second = now;
    if (logged_lately) return;
  }
  logging::Info("first refusal of a workspace in a while",
                {{"workspace", workspace},
                 {"reason", reason},
                 {"retry_after_ms", static_cast<std::int64_t>(refusal.retry_after.count())}});
}

void quota_controller::Settle(const permit& taken, bool may_have_run) {
  const std::lock_guard lock(mutex_);
  holder_.Settle(taken, may_have_run);
}

void quota_controller::WakeWaiting() {
  const std::lock_guard lock(mutex_);
  for (const auto& timer : waiting_) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

std::size_t quota_controller::DaemonCount() const {
  std::size_t count = 0;
  for (const auto& [data_centre, members] : deps_.members.View()->data_centres) {
    count += members.size();
  }
  return count;
}

std::vector<std::string> quota_controller::Candidates() const {
  std::vector<std::string> present;
  const member_view_ptr view = deps_.members.View();
  for (const auto& [data_centre, members] : view->data_centres) {
    for (const member_ptr& each : members) present.push_back(each->vm);
  }
  return AuthorityCandidates(std::move(present));
}

std::optional<authority_row> quota_controller::FreshRow(boot_time_point now) const {
  const bool fresh = row_read_at_ && now - *row_read_at_ < kMaxReadGap;
  return fresh ? claim_.LastRow() : std::nullopt;
}

asio::awaitable<void> quota_controller::ExchangePermits() {
  while (!stopping_) {
    const time_point next_check = Now() + kAskCheckInterval;
    const boot_time_point now = BootNow();
    std::optional<boot_time_point> due;
    std::vector<std::string> candidates;
    bool must_search = false;
    {
      const std::lock_guard lock(mutex_);
      holder_.SetDaemonCount(DaemonCount());
      must_search = holder_.AuthorityVm().empty() || holder_.Failures() >= kFailuresBeforeSearch;
    }
    if (must_search) candidates = Candidates();
    {
      const std::lock_guard lock(mutex_);
      finder_.Update(holder_, FreshRow(now), candidates);
      due = holder_.NextAskAt(now);
    }
    if (due && *due <= now) {
      co_await Ask();
      continue;
    }
    // An ask that is due before the next check belongs to requests that wait.
    const auto wait = due ? std::chrono::duration_cast<milliseconds>(*due - now) + milliseconds(1)
                          : kAskCheckInterval;
    ask_timer_.expires_at(std::min(next_check, Now() + wait));
    co_await ask_timer_.async_wait(kAwait);
  }
}

asio::awaitable<void> quota_controller::Ask() {
  permit_ask ask;
  {
    const std::lock_guard lock(mutex_);
    ask = holder_.BeginAsk(BootNow());
  }
  result<permit_reply> reply =
      error{error_kind::kUnavailable, "permits", ask.recipient, "not a present member"};
  const std::optional<endpoint> recipient = EndpointOf(ask.recipient);
  if (ask.recipient == identity_.vm) {
    reply = Answer(ask);
  } else if (recipient) {
    reply = co_await deps_.peers.Permits(*recipient, std::move(ask), kAskTimeout);
  }
  if (Ok(reply)) LearnEndpoint(Value(reply).authority, Value(reply).control);
  {
    const std::lock_guard lock(mutex_);
    const boot_time_point now = BootNow();
    if (Ok(reply)) {
      holder_.OnReply(Value(reply), now);
      if (Value(reply).verdict == permit_verdict::kAnswered) OnAnswered(Value(reply), now);
    } else {
      holder_.OnAskFailed();
    }
  }
  WakeWaiting();
}

void quota_controller::LearnEndpoint(const std::string& vm, const std::string& control) {
  const auto parsed = ParseEndpoint(control);
  if (vm.empty() || !Ok(parsed)) return;
  learnt_vm_ = vm;
  learnt_endpoint_ = Value(parsed);
}

std::optional<endpoint> quota_controller::EndpointOf(const std::string& vm) const {
  const member_ptr member = deps_.members.Find(vm);
  if (member != nullptr && IsPresent(*member)) return member->control;
  // The message names its recipient, so that another vm at this address takes nothing.
  if (vm == learnt_vm_) return learnt_endpoint_;
  return std::nullopt;
}

void quota_controller::OnAnswered(const permit_reply& reply, boot_time_point now) {
  searching_since_ = now;
  if (reply.epoch == answered_epoch_ && reply.authority == answered_by_) return;
  logging::Info("permits come from another quota authority",
                {{"vm", reply.authority},
                 {"epoch", static_cast<std::int64_t>(reply.epoch)},
                 {"before", answered_by_}});
  answered_by_ = reply.authority;
  answered_epoch_ = reply.epoch;
}

bool quota_controller::MustWatch(const std::vector<std::string>& candidates) const {
  if (claim_.IsAuthority(BootNow())) return true;
  const bool is_candidate =
      std::find(candidates.begin(), candidates.end(), identity_.vm) != candidates.end();
  if (is_candidate || WatchesAsStrong(identity_.vm, identity_.processor_share, DaemonCount())) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  return holder_.Failures() >= kFailuresBeforeSearch && BootNow() - searching_since_ > kSearchDelay;
}

asio::awaitable<void> quota_controller::WatchRow() {
  while (!stopping_) {
    const time_point next = Now() + kAuthorityRenewInterval;
    if (MustWatch(Candidates())) co_await RenewOrClaim();
    watch_timer_.expires_at(next);
    co_await watch_timer_.async_wait(kAwait);
  }
}

asio::awaitable<bool> quota_controller::ReadRow() {
  const boot_time_point sent_at = BootNow();
  const auto read = co_await deps_.platform.Read(kRowKey);
  if (!Ok(read) || stopping_) co_return false;
  const std::optional<table_row>& row = Value(read);
  // A store that states no era is taken for one that never goes back.
  claim_.OnRead(row ? ParseAuthorityRow(row->value) : std::nullopt, row ? row->revision : 0,
                deps_.era.Current(), sent_at, BootNow());
  row_read_at_ = BootNow();
  if (claim_.LastRow()) LearnEndpoint(claim_.LastRow()->vm, claim_.LastRow()->control);
  UpdateAuthority();
  co_return true;
}

asio::awaitable<void> quota_controller::RenewOrClaim() {
  const bool read = co_await ReadRow();
  if (!read) co_return;
  const boot_time_point now = BootNow();
  const auto write = claim_.NextWrite(authority_ != nullptr && authority_->Settled(now), now);
  if (!write) co_return;
  std::vector<row_write> writes = {
      {kRowKey, SerializeAuthorityRow(write->row), write->expected_revision}};
  const auto written = co_await deps_.platform.Transact(std::move(writes));
  const bool is_claim = write->row.renewal == 0;
  if (is_claim) {
    logging::Info("claim of the quota authority written",
                  {{"epoch", static_cast<std::int64_t>(write->row.epoch)},
                   {"answered", Ok(written) ? "yes" : "no"}});
    if (Ok(written)) co_await ReadRow();
  }
}

void quota_controller::UpdateAuthority() {
  const boot_time_point now = BootNow();
  if (!claim_.IsAuthority(now)) {
    if (authority_ == nullptr) return;
    logging::Warning("quota authority lost",
                     {{"epoch", static_cast<std::int64_t>(authority_->Epoch())},
                      {"row", claim_.LastRow() ? claim_.LastRow()->vm : std::string()}});
    authority_.reset();
    return;
  }
  if (authority_ == nullptr || authority_->Epoch() != claim_.Epoch()) {
    const auto predecessor =
        claim_.PredecessorSettled() ? predecessor_state::kSettled : predecessor_state::kUnsettled;
    authority_ = std::make_unique<permit_authority>(identity_.vm, claim_.Epoch(), settings_,
                                                    predecessor, claim_.ClaimedAt());
    limits_of_.reset();
    logging::Info("quota authority gained",
                  {{"epoch", static_cast<std::int64_t>(claim_.Epoch())},
                   {"predecessor_settled", claim_.PredecessorSettled() ? "yes" : "no"}});
  }
  const parsed_document_ptr in_force = deps_.documents.InForce(identity_.document);
  if (in_force == nullptr || in_force == limits_of_) return;
  limits_of_ = in_force;
  authority_->SetLimits(in_force->content.workspaces, now);
}

permit_reply quota_controller::Answer(const permit_ask& ask) {
  UpdateAuthority();
  const boot_time_point now = BootNow();
  if (authority_ != nullptr) return authority_->Answer(ask, now);
  permit_reply reply{permit_verdict::kNotAuthority, ask.sequence, 0, "", {}};
  if (ask.recipient != identity_.vm) return reply;
  const std::optional<authority_row> row = FreshRow(now);
  if (row && !row->released) {
    reply.authority = row->vm;
    reply.epoch = row->epoch;
    reply.control = row->control;
  }
  return reply;
}

asio::awaitable<permit_reply> quota_controller::OnPermits(permit_ask message) {
  if (!Enabled()) co_return permit_reply{.sequence = message.sequence};
  co_return Answer(message);
}

void quota_controller::RefreshMetrics() {
  if (!Enabled()) return;
  const boot_time_point now = BootNow();
  {
    const std::lock_guard lock(mutex_);
    deps_.metrics.SetGauge("catkinmoor_quota_permits_held",
                           static_cast<double>(holder_.FreePermits(now)));
    if (const auto age = holder_.AnswerAge(now)) {
      deps_.metrics.SetGauge("catkinmoor_quota_answer_age_seconds",
                             std::chrono::duration<double>(*age).count());
    }
  }
  UpdateAuthority();
  deps_.metrics.SetGauge("catkinmoor_quota_authority", authority_ == nullptr ? 0 : 1);
  if (authority_ == nullptr) return;
  for (const bucket_level& each : authority_->Levels(now)) {
    deps_.metrics.SetGauge("catkinmoor_quota_level", each.level, {{"workspace", each.workspace}});
    deps_.metrics.SetGauge("catkinmoor_quota_outstanding", each.outstanding,
                           {{"workspace", each.workspace}});
  }
}

}  // namespace catkinmoor
