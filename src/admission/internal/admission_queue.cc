#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace catkinmoor {
namespace {

constexpr double kSampleWeight = 0.1;
/// Service times vary around their mean; this multiple of the mean covers most requests. It also
/// keeps the queue short under overload, and a short queue is enough to keep the slots busy.
constexpr double kServiceTimeMargin = 1.6;

/// Responses of at least this length wait for link capacity.
constexpr double kLongResponseBytes = 16U << 10U;
/// Maximum time for which responses may queue at the link. The time in which the target works
/// before it responds is allowed in addition, so that enough requests run to keep the link busy.
constexpr double kLinkQueueMs = 200;

constexpr std::size_t kRanks = 4;

std::size_t RankOf(const admission_request& request) {
  if (request.priority < 0) return static_cast<std::size_t>(request.kind);
  return std::min(static_cast<std::size_t>(request.priority), kRanks - 1);
}

}  // namespace

const char* RefusalName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kDraining:
      return "draining";
    case refusal_reason::kQueueFull:
      return "queue-full";
    case refusal_reason::kTooLate:
      return "too-late";
    case refusal_reason::kNoTarget:
      break;
  }
  return "no-target";
}

std::vector<queue_release> admission_queue::StartDraining() {
  draining_ = true;
  std::vector<queue_release> released;
  for (auto& queue : waiting_) {
    for (const admission_request& each : queue) {
      released.push_back({each.ticket, {admission_action::kRefuse, refusal_reason::kDraining}});
    }
    queue.clear();
  }
  waiting_by_route_.clear();
  return released;
}

bool admission_queue::CanRun(const admission_request& request, time_point now) const {
  return HasSlot(request) && HasLinkCapacity(request) && rate_limit_.Allows(now);
}

std::optional<time_point> admission_queue::NextStartAt(time_point now) const {
  if (Queued() == 0 || !rate_limit_.PerSecond()) return std::nullopt;
  return rate_limit_.NextAllowedAt(now);
}

std::uint32_t admission_queue::UsableSlots() const {
  const auto limit = rate_limit_.PerSecond();
  if (!limit || mean_service_ms_ <= 0 || slots_ == 0) return slots_;
  const double busy = std::ceil(*limit * mean_service_ms_ / 1'000);
  return static_cast<std::uint32_t>(std::clamp<double>(busy, 1, slots_));
}

double admission_queue::LinkTransferMs(const std::string& route) const {
  if (link_bytes_per_ms_ <= 0) return 0;
  const auto found = responses_by_route_.find(route);
  const bool is_long =
      found != responses_by_route_.end() && found->second.bytes >= kLongResponseBytes;
  return is_long ? found->second.bytes / link_bytes_per_ms_ : 0;
}

bool admission_queue::HasLinkCapacity(const admission_request& request) const {
  const double own_ms = LinkTransferMs(request.route);
  if (own_ms == 0) return true;
  double busy_ms = 0;
  for (const auto& [route, running] : running_by_route_) {
    busy_ms += LinkTransferMs(route) * static_cast<double>(running);
  }
  const double bound_ms = kLinkQueueMs + responses_by_route_.at(request.route).work_ms;
  return busy_ms == 0 || busy_ms + own_ms <= bound_ms;
}

void admission_queue::RecordResponse(const std::string& route, std::uint64_t bytes,
                                     milliseconds work) {
  const response_means sample{static_cast<double>(bytes), static_cast<double>(work.count())};
  const auto [mean, inserted] = responses_by_route_.try_emplace(route, sample);
  if (inserted) return;
  mean->second.bytes += kSampleWeight * (sample.bytes - mean->second.bytes);
  mean->second.work_ms += kSampleWeight * (sample.work_ms - mean->second.work_ms);
}

bool admission_queue::HasSlot(const admission_request& request) const {
  if (in_use_ >= slots_) return false;
  const auto running = running_by_route_.find(request.route);
  return running == running_by_route_.end() || running->second < request.max_running;
}

void admission_queue::Start(const admission_request& request, time_point now) {
  rate_limit_.Take(now);
  ++in_use_;
  ++running_by_route_[request.route];
}

double admission_queue::ExpectedWaitMs(const admission_request& request, time_point now) const {
  std::size_t ahead = 0;
  for (std::size_t rank = 0; rank <= RankOf(request); ++rank) ahead += waiting_[rank].size();
  const double slot_ms =
      mean_service_ms_ * static_cast<double>(ahead + 1) / std::max<double>(1, slots_);
  return std::max({slot_ms, ExpectedLinkWaitMs(request), rate_limit_.ExpectedWaitMs(ahead, now)});
}

double admission_queue::ExpectedLinkWaitMs(const admission_request& request) const {
  if (LinkTransferMs(request.route) == 0) return 0;
  double ahead_ms = 0;
  for (std::size_t rank = 0; rank <= RankOf(request); ++rank) {
    for (const admission_request& each : waiting_[rank]) ahead_ms += LinkTransferMs(each.route);
  }
  return ahead_ms;
}

double admission_queue::MeanServiceMs(const std::string& route) const {
  const auto found = service_ms_by_route_.find(route);
  return found == service_ms_by_route_.end() ? mean_service_ms_ : found->second;
}

double admission_queue::ExpectedWorkLeftMs() const {
  constexpr double kRunningShare = 0.5;
  double left_ms = 0;
  for (const auto& [route, running] : running_by_route_) {
    left_ms += kRunningShare * static_cast<double>(running) * MeanServiceMs(route);
  }
  for (const auto& [route, waiting] : waiting_by_route_) {
    left_ms += static_cast<double>(waiting) * MeanServiceMs(route);
  }
  return left_ms;
}

double admission_queue::ExpectedBacklogMs(time_point now) const {
  const double slot_ms =
      mean_service_ms_ * static_cast<double>(Queued() + 1) / std::max<double>(1, slots_);
  return std::max(slot_ms, rate_limit_.ExpectedWaitMs(Queued(), now));
}

bool admission_queue::WillMissObjective(const admission_request& request, time_point now) const {
  const double left_ms =
      std::chrono::duration<double, std::milli>(*request.objective - now).count();
  return ExpectedWaitMs(request, now) + kServiceTimeMargin * MeanServiceMs(request.route) > left_ms;
}

bool admission_queue::IsTooLate(const admission_request& request, time_point now) const {
  if (request.deadline <= now) return true;
  if (request.kind == route_class::kBooking) return false;
  // A request that cannot finish by its deadline would take a slot from one that can.
  const double left_ms = std::chrono::duration<double, std::milli>(request.deadline - now).count();
  return left_ms < mean_service_ms_;
}

admission_decision admission_queue::Admit(const admission_request& request, time_point now) {
  if (draining_) return {admission_action::kRefuse, refusal_reason::kDraining};
  if (slots_ == 0) return {admission_action::kRefuse, refusal_reason::kNoTarget};
  if (request.deadline <= now) return {admission_action::kRefuse, refusal_reason::kTooLate};
  // Requests that wait for the link do not hold back requests with short responses.
  const bool is_next = std::none_of(
      waiting_.begin(), waiting_.begin() + RankOf(request) + 1, [&](const auto& queue) {
        return std::any_of(queue.begin(), queue.end(),
                           [&](const auto& each) { return HasLinkCapacity(each); });
      });
  if (is_next && CanRun(request, now)) {
    Start(request, now);
    return {admission_action::kRun, refusal_reason::kNone};
  }
  if (waiting_by_route_[request.route] >= request.max_queued) {
    return {admission_action::kRefuse, refusal_reason::kQueueFull};
  }
  if (request.objective && WillMissObjective(request, now)) {
    return {admission_action::kRefuse, refusal_reason::kTooLate};
  }
  const double left_ms = std::chrono::duration<double, std::milli>(request.deadline - now).count();
  const bool may_shed = request.kind != route_class::kBooking;
  if (may_shed && ExpectedWaitMs(request, now) + mean_service_ms_ > left_ms) {
    return {admission_action::kRefuse, refusal_reason::kTooLate};
  }
  waiting_[RankOf(request)].push_back(request);
  ++waiting_by_route_[request.route];
  return {admission_action::kWait, refusal_reason::kNone};
}

std::vector<queue_release> admission_queue::Finish(const std::string& route,
                                                   milliseconds service_time, time_point now) {
  if (in_use_ > 0) --in_use_;
  const auto running = running_by_route_.find(route);
  if (running != running_by_route_.end() && --running->second <= 0) {
    running_by_route_.erase(running);
  }
  const auto sample = static_cast<double>(service_time.count());
  mean_service_ms_ += kSampleWeight * (sample - mean_service_ms_);
  const auto [route_mean, inserted] = service_ms_by_route_.try_emplace(route, sample);
  if (!inserted) route_mean->second += kSampleWeight * (sample - route_mean->second);
  return Advance(now);
}

std::vector<queue_release> admission_queue::Advance(time_point now) {
  std::vector<queue_release> released;
  for (auto& queue : waiting_) {
    for (auto next = queue.begin(); next != queue.end();) {
      const bool too_late = IsTooLate(*next, now);
      if (!too_late && !CanRun(*next, now)) {
        ++next;
        continue;
      }
      if (!too_late) Start(*next, now);
      --waiting_by_route_[next->route];
      released.push_back(
          {next->ticket,
           too_late ? admission_decision{admission_action::kRefuse, refusal_reason::kTooLate}
                    : admission_decision{admission_action::kRun, refusal_reason::kNone}});
      next = queue.erase(next);
    }
  }
  return released;
}

bool admission_queue::Cancel(std::uint64_t ticket) {
  for (auto& queue : waiting_) {
    const auto found = std::find_if(queue.begin(), queue.end(), [&](const admission_request& each) {
      return each.ticket == ticket;
    });
    if (found == queue.end()) continue;
    --waiting_by_route_[found->route];
    queue.erase(found);
    return true;
  }
  return false;
}

std::uint32_t admission_queue::Queued() const {
  std::size_t queued = 0;
  for (const auto& queue : waiting_) queued += queue.size();
  return static_cast<std::uint32_t>(queued);
}

}  // namespace catkinmoor
