#include "admission/admission_queue.h"

#include <algorithm>

namespace catkinmoor {
namespace {

constexpr double kServiceTimeWeight = 0.1;
/// Times vary around their mean; this many means cover most requests. The queue stays short under
/// overload, and slots are busy with a short one as well.
constexpr double kServiceMargin = 1.6;

/// Answers of this length or more wait for the link.
constexpr double kLongAnswerBytes = 16U << 10U;
/// Time for which answers may wait for each other at the link. While targets work on as many more
/// as fill it, the link is not left idle.
constexpr double kLinkQueueMs = 200;

constexpr std::size_t kRanks = 4;

std::size_t Rank(const admission_request& request) {
  if (request.priority < 0) return static_cast<std::size_t>(request.kind);
  return std::min(static_cast<std::size_t>(request.priority), kRanks - 1);
}

}  // namespace

const char* RefusalName(refusal reason) {
  switch (reason) {
    case refusal::kNone:
      return "none";
    case refusal::kDraining:
      return "draining";
    case refusal::kQueueFull:
      return "queue-full";
    case refusal::kTooLate:
      return "too-late";
    case refusal::kNoTarget:
      break;
  }
  return "no-target";
}

std::vector<admission_release> admission_queue::Drain() {
  draining_ = true;
  std::vector<admission_release> released;
  for (auto& line : waiting_) {
    for (const admission_request& each : line) {
      released.push_back({each.ticket, {admission::kRefuse, refusal::kDraining}});
    }
    line.clear();
  }
  waiting_by_route_.clear();
  return released;
}

bool admission_queue::CanRun(const admission_request& request) const {
  return HasSlot(request) && HasLink(request);
}

double admission_queue::LinkMs(const std::string& route) const {
  if (link_bytes_per_ms_ <= 0) return 0;
  const auto found = answers_by_route_.find(route);
  const bool is_long = found != answers_by_route_.end() && found->second.bytes >= kLongAnswerBytes;
  return is_long ? found->second.bytes / link_bytes_per_ms_ : 0;
}

bool admission_queue::HasLink(const admission_request& request) const {
  const double own_ms = LinkMs(request.route);
  if (own_ms == 0) return true;
  double busy_ms = 0;
  for (const auto& [route, running] : running_by_route_) {
    busy_ms += LinkMs(route) * static_cast<double>(running);
  }
  const double bound_ms = kLinkQueueMs + answers_by_route_.at(request.route).work_ms;
  return busy_ms == 0 || busy_ms + own_ms <= bound_ms;
}

void admission_queue::NoteAnswer(const std::string& route, std::uint64_t bytes, milliseconds work) {
  const answer_size sample{static_cast<double>(bytes), static_cast<double>(work.count())};
  const auto [mean, first] = answers_by_route_.try_emplace(route, sample);
  if (first) return;
  mean->second.bytes += kServiceTimeWeight * (sample.bytes - mean->second.bytes);
  mean->second.work_ms += kServiceTimeWeight * (sample.work_ms - mean->second.work_ms);
}

bool admission_queue::HasSlot(const admission_request& request) const {
  if (in_use_ >= slots_) return false;
  const auto running = running_by_route_.find(request.route);
  return running == running_by_route_.end() || running->second < request.concurrency;
}

void admission_queue::Start(const admission_request& request) {
  ++in_use_;
  ++running_by_route_[request.route];
}

double admission_queue::ExpectedWaitMs(const admission_request& request) const {
  std::size_t ahead = 0;
  for (std::size_t rank = 0; rank <= Rank(request); ++rank) ahead += waiting_[rank].size();
  const double slot_ms =
      mean_service_ms_ * static_cast<double>(ahead + 1) / std::max<double>(1, slots_);
  return std::max(slot_ms, ExpectedLinkWaitMs(request));
}

double admission_queue::ExpectedLinkWaitMs(const admission_request& request) const {
  if (LinkMs(request.route) == 0) return 0;
  double ahead_ms = 0;
  for (std::size_t rank = 0; rank <= Rank(request); ++rank) {
    for (const admission_request& each : waiting_[rank]) ahead_ms += LinkMs(each.route);
  }
  return ahead_ms;
}

double admission_queue::ServiceMs(const std::string& route) const {
  const auto found = service_ms_by_route_.find(route);
  return found == service_ms_by_route_.end() ? mean_service_ms_ : found->second;
}

double admission_queue::BacklogMs() const {
  return mean_service_ms_ * static_cast<double>(Queued() + 1) / std::max<double>(1, slots_);
}

bool admission_queue::CannotMeet(const admission_request& request, time_point now) const {
  const double left_ms =
      std::chrono::duration<double, std::milli>(*request.objective - now).count();
  return ExpectedWaitMs(request) + kServiceMargin * ServiceMs(request.route) > left_ms;
}

bool admission_queue::IsTooLate(const admission_request& request, time_point now) const {
  if (request.deadline <= now) return true;
  if (request.kind == route_class::kBooking) return false;
  // Work that cannot end in time would take a slot from work that can.
  const double left_ms = std::chrono::duration<double, std::milli>(request.deadline - now).count();
  return left_ms < mean_service_ms_;
}

admission_decision admission_queue::Arrive(const admission_request& request, time_point now) {
  if (draining_) return {admission::kRefuse, refusal::kDraining};
  if (slots_ == 0) return {admission::kRefuse, refusal::kNoTarget};
  if (request.deadline <= now) return {admission::kRefuse, refusal::kTooLate};
  // Those that wait for the link leave slots to requests with short answers.
  const bool is_next =
      std::none_of(waiting_.begin(), waiting_.begin() + Rank(request) + 1, [&](const auto& line) {
        return std::any_of(line.begin(), line.end(),
                           [&](const auto& each) { return HasLink(each); });
      });
  if (is_next && CanRun(request)) {
    Start(request);
    return {admission::kRun, refusal::kNone};
  }
  if (waiting_by_route_[request.route] >= request.queue) {
    return {admission::kRefuse, refusal::kQueueFull};
  }
  if (request.objective && CannotMeet(request, now)) {
    return {admission::kRefuse, refusal::kTooLate};
  }
  const double left_ms = std::chrono::duration<double, std::milli>(request.deadline - now).count();
  const bool sheds = request.kind != route_class::kBooking;
  if (sheds && ExpectedWaitMs(request) + mean_service_ms_ > left_ms) {
    return {admission::kRefuse, refusal::kTooLate};
  }
  waiting_[Rank(request)].push_back(request);
  ++waiting_by_route_[request.route];
  return {admission::kWait, refusal::kNone};
}

std::vector<admission_release> admission_queue::Finish(const std::string& route,
                                                       milliseconds service_time, time_point now) {
  if (in_use_ > 0) --in_use_;
  const auto running = running_by_route_.find(route);
  if (running != running_by_route_.end() && --running->second <= 0) {
    running_by_route_.erase(running);
  }
  const auto sample = static_cast<double>(service_time.count());
  mean_service_ms_ += kServiceTimeWeight * (sample - mean_service_ms_);
  const auto [of_route, first] = service_ms_by_route_.try_emplace(route, sample);
  if (!first) of_route->second += kServiceTimeWeight * (sample - of_route->second);
  return Advance(now);
}

std::vector<admission_release> admission_queue::Advance(time_point now) {
  std::vector<admission_release> released;
  for (auto& line : waiting_) {
    for (auto next = line.begin(); next != line.end();) {
      const bool late = IsTooLate(*next, now);
      if (!late && !CanRun(*next)) {
        ++next;
        continue;
      }
      if (!late) Start(*next);
      --waiting_by_route_[next->route];
      released.push_back(
          {next->ticket, late ? admission_decision{admission::kRefuse, refusal::kTooLate}
                              : admission_decision{admission::kRun, refusal::kNone}});
      next = line.erase(next);
    }
  }
  return released;
}

bool admission_queue::Abandon(std::uint64_t ticket) {
  for (auto& line : waiting_) {
    const auto found = std::find_if(line.begin(), line.end(), [&](const admission_request& each) {
      return each.ticket == ticket;
    });
    if (found == line.end()) continue;
    --waiting_by_route_[found->route];
    line.erase(found);
    return true;
  }
  return false;
}

std::uint32_t admission_queue::Queued() const {
  std::size_t queued = 0;
  for (const auto& line : waiting_) queued += line.size();
  return static_cast<std::uint32_t>(queued);
}

}  // namespace catkinmoor
