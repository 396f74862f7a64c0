#include "proxy/internal/slot_controller.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace catkinmoor::proxy_internal {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);

// About the time of one request; sooner there is no new room.
constexpr milliseconds kLeastRetryAfter{100};

}  // namespace

slot_controller::lease::lease(std::shared_ptr<slot_controller> owner, std::string route)
    : owner_(std::move(owner)), route_(std::move(route)), since_(Now()) {}

slot_controller::lease::~lease() {
  owner_->Finish(route_, std::chrono::duration_cast<milliseconds>(Now() - since_));
}

asio::awaitable<admission_decision> slot_controller::Acquire(admission_request request,
                                                             place_ptr waiting) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    request.ticket = ++last_ticket_;
    waiting->ticket = request.ticket;
    const admission_decision decision = queue_.Arrive(request, Now());
    if (decision.what != admission::kWait) co_return decision;
    places_.emplace(request.ticket, waiting);
    waiting->timer.expires_at(request.deadline);
  }
  co_await waiting->timer.async_wait(kAwait);
  if (!waiting->decision) {
    // The deadline passed, or the place was given up.
    const std::lock_guard<std::mutex> lock(mutex_);
    places_.erase(request.ticket);
    const bool was_waiting = queue_.Abandon(request.ticket);
    if (was_waiting) co_return admission_decision{admission::kRefuse, refusal::kTooLate};
  }
  if (!waiting->decision) {
    // A release is on its way to this thread.
    waiting->timer.expires_at(time_point::max());
    co_await waiting->timer.async_wait(kAwait);
  }
  co_return waiting->decision.value_or(admission_decision{admission::kRefuse, refusal::kTooLate});
}

void slot_controller::Abandon(const place_ptr& waiting) { waiting->timer.cancel(); }

void slot_controller::SetSlots(std::uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.SetSlots(slots);
  if (slots == 0) {
    Release(queue_.Drain());
    queue_.Reopen();
  }
  Release(queue_.Advance(Now()));
}

void slot_controller::SetLink(double bytes_per_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.SetLink(bytes_per_ms);
}

void slot_controller::NoteAnswer(const std::string& route, std::uint64_t bytes, milliseconds work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.NoteAnswer(route, bytes, work);
}

void slot_controller::Drain() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Release(queue_.Drain());
}

milliseconds slot_controller::RetryAfter() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::max(kLeastRetryAfter, milliseconds(static_cast<std::int64_t>(queue_.BacklogMs())));
}

reported_load slot_controller::Load(const std::string& route) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {queue_.InUse(), queue_.Slots(), queue_.Queued(),
          static_cast<std::uint32_t>(queue_.ServiceMs(route))};
}

void slot_controller::Finish(const std::string& route, milliseconds service_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Release(queue_.Finish(route, service_time, Now()));
}

void slot_controller::Release(const std::vector<admission_release>& released) {
  for (const admission_release& each : released) {
    const auto found = places_.find(each.ticket);
    if (found == places_.end()) continue;
    const place_ptr waiting = found->second;
    places_.erase(found);
    asio::post(waiting->timer.get_executor(), [waiting, decision = each.decision] {
      waiting->decision = decision;
      waiting->timer.cancel();
    });
  }
}

}  // namespace catkinmoor::proxy_internal
