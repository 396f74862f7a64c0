#include "proxy/internal/slot_controller.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace catkinmoor::proxy_internal {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);

// Roughly the duration of one request; no slot becomes free sooner.
constexpr milliseconds kMinRetryAfter{100};

/// Weight of one report in the moving average of the pace, as that of one response in the service
/// times of the queue.
constexpr double kPaceWeight = 0.1;
constexpr double kPercent = 100;

}  // namespace

slot_controller::lease::lease(std::shared_ptr<slot_controller> owner, std::string route)
    : owner_(std::move(owner)), route_(std::move(route)), since_(Now()) {}

slot_controller::lease::~lease() {
  owner_->Finish(route_, std::chrono::duration_cast<milliseconds>(Now() - since_));
}

asio::awaitable<admission_decision> slot_controller::Acquire(admission_request request,
                                                             waiting_request_ptr waiter) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    request.ticket = ++last_ticket_;
    waiter->ticket = request.ticket;
    const admission_decision decision = queue_.Admit(request, Now());
    if (decision.action != admission_action::kWait) co_return decision;
    waiters_.emplace(request.ticket, waiter);
    waiter->timer.expires_at(request.deadline);
    ScheduleStart();
  }
  co_await waiter->timer.async_wait(kAwait);
  if (!waiter->decision) {
    // The deadline passed, or the wait was cancelled.
    const std::lock_guard<std::mutex> lock(mutex_);
    waiters_.erase(request.ticket);
    const bool was_waiting = queue_.Cancel(request.ticket);
    if (was_waiting)
      co_return admission_decision{admission_action::kRefuse, refusal_reason::kTooLate};
  }
  if (!waiter->decision) {
    // The decision has been made and is being posted to this thread.
    waiter->timer.expires_at(time_point::max());
    co_await waiter->timer.async_wait(kAwait);
  }
  co_return waiter->decision.value_or(
      admission_decision{admission_action::kRefuse, refusal_reason::kTooLate});
}

void slot_controller::CancelWait(const waiting_request_ptr& waiter) { waiter->timer.cancel(); }

void slot_controller::SetSlots(std::uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.SetSlots(slots);
  if (slots == 0) {
    WakeWaiters(queue_.StartDraining());
    queue_.Reopen();
  }
  WakeWaiters(queue_.Advance(Now()));
}

void slot_controller::SetLinkRate(double bytes_per_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.SetLinkRate(bytes_per_ms);
}

void slot_controller::RecordResponse(const std::string& route, std::uint64_t bytes,
                                     milliseconds processing_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.RecordResponse(route, bytes, processing_time);
}

void slot_controller::Drain() {
  const std::lock_guard<std::mutex> lock(mutex_);
  WakeWaiters(queue_.StartDraining());
}

void slot_controller::OnTargetResponse(std::optional<double> limit_per_second) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto previous = queue_.RateLimit().PerSecond();
  queue_.RateLimit().OnResponse(limit_per_second, Now());
  if (queue_.RateLimit().PerSecond() == previous) return;
  WakeWaiters(queue_.Advance(Now()));
  ScheduleStart();
}

void slot_controller::OnEntryLimit(double limit_per_second) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.RateLimit().OnCallerReport(limit_per_second, Now());
}

void slot_controller::ResetRateLimit() {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.RateLimit().Reset();
  pace_percent_ = 0;
  mean_pace_ = 1;
  WakeWaiters(queue_.Advance(Now()));
}

std::optional<double> slot_controller::RateLimit() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return queue_.RateLimit().PerSecond();
}

void slot_controller::ScheduleStart() {
  const auto next = queue_.NextStartAt(Now());
  if (!next || (scheduled_start_ && *scheduled_start_ <= *next)) return;
  scheduled_start_ = next;
  asio::post(context_, [self = shared_from_this(), at = *next] {
    self->timer_.expires_at(at);
    self->timer_.async_wait([self](const boost::system::error_code& failed) {
      if (!failed) self->StartAllowed();
    });
  });
}

void slot_controller::StartAllowed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  scheduled_start_.reset();
  WakeWaiters(queue_.Advance(Now()));
  ScheduleStart();
}

milliseconds slot_controller::RetryAfter() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::max(kMinRetryAfter,
                  milliseconds(static_cast<std::int64_t>(queue_.ExpectedBacklogMs(Now()))));
}

void slot_controller::OnTargetPace(std::uint32_t percent) {
  if (percent == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  pace_percent_ = percent;
  mean_pace_ += kPaceWeight * (percent / kPercent - mean_pace_);
}

reported_load slot_controller::Load(const std::string& route) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  reported_load load{queue_.InUse(), queue_.UsableSlots(), queue_.Queued(),
                     static_cast<std::uint32_t>(queue_.MeanServiceMs(route)), pace_percent_};
  if (pace_percent_ > 0) {
    load.work_left_ms = static_cast<std::uint32_t>(queue_.ExpectedWorkLeftMs() / mean_pace_);
  }
  return load;
}

void slot_controller::Finish(const std::string& route, milliseconds service_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  WakeWaiters(queue_.Finish(route, service_time, Now()));
  ScheduleStart();
}

void slot_controller::WakeWaiters(const std::vector<queue_release>& released) {
  for (const queue_release& each : released) {
    const auto found = waiters_.find(each.ticket);
    if (found == waiters_.end()) continue;
    const waiting_request_ptr waiter = found->second;
    waiters_.erase(found);
    asio::post(waiter->timer.get_executor(), [waiter, decision = each.decision] {
      waiter->decision = decision;
      waiter->timer.cancel();
    });
  }
}

}  // namespace catkinmoor::proxy_internal
