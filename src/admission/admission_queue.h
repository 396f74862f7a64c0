#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/target_rate_limit.h"
#include "document/document.h"
#include "framework/base/clock.h"

namespace catkinmoor {

/// Why a request was refused.
enum class refusal_reason { kNone, kDraining, kQueueFull, kTooLate, kNoTarget };

/// The name of a refusal in responses and metrics.
const char* RefusalName(refusal_reason reason);

/// A request for a slot of the target.
struct admission_request {
  std::uint64_t ticket = 0;
  route_class kind = route_class::kBrowse;
  std::string route;
  std::int64_t max_running = 1;
  std::int64_t max_queued = 0;
  time_point deadline{};
  /// Rank among waiting requests, 0 runs first; -1 takes the rank from the class.
  std::int64_t priority = -1;
  /// Time by which the response should be complete, which may precede the deadline; unset when
  /// there is no latency objective.
  std::optional<time_point> objective;
};

/// What to do with a request.
enum class admission_action { kRun, kWait, kRefuse };

struct admission_decision {
  admission_action action = admission_action::kRefuse;
  refusal_reason reason = refusal_reason::kNone;

  friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// A waiting request that leaves the queue, to run or to be refused.
struct queue_release {
  std::uint64_t ticket = 0;
  admission_decision decision;

  friend bool operator==(const queue_release&, const queue_release&) = default;
};

/// Shares the target's slots among route classes. A request with an objective that has to wait is
/// refused if it is not expected to meet the objective, so that late work does not displace work
/// that is done in time. Without an objective, bookings may wait until their deadline; the other
/// classes are refused when they are not expected to finish before it.
/// Routes with long responses share the vm's link as well: only as many of their requests run at
/// once as the link can carry. Where the target names a limit of its request rate, requests start
/// no faster than that.
/// A plain state machine: the caller passes the time and holds the lock.
class admission_queue {
 public:
  /// Sets the maximum number of requests that the target runs at once. Zero: there is no target.
  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// Sets the rate at which the link carries responses. Zero: unlimited.
  void SetLinkRate(double bytes_per_ms) { link_bytes_per_ms_ = bytes_per_ms; }

  /// The limit that the target names for its request rate.
  target_rate_limit& RateLimit() { return rate_limit_; }
  const target_rate_limit& RateLimit() const { return rate_limit_; }

  /// When a waiting request may start at the earliest because of the rate limit; nothing if none
  /// waits.
  std::optional<time_point> NextStartAt(time_point now) const;

  /// Records the length of a response that was sent over the link, and the time that the target
  /// worked before it began to respond.
  void RecordResponse(const std::string& route, std::uint64_t bytes, milliseconds work);

  /// Refuses new requests until Reopen is called. Returns the refused waiting ones.
  std::vector<queue_release> StartDraining();
  void Reopen() { draining_ = false; }

  admission_decision Admit(const admission_request& request, time_point now);

  /// Records that a running request ended after a service time. Returns the waiting requests that
  /// can run now and those that are refused as too late.
  std::vector<queue_release> Finish(const std::string& route, milliseconds service_time,
                                    time_point now);

  /// Returns the waiting requests that are refused as too late, and those that can run now, for
  /// instance after slots were added.
  std::vector<queue_release> Advance(time_point now);

  /// Removes a waiting request whose caller disconnected. False when it was not waiting.
  bool Cancel(std::uint64_t ticket);

  std::uint32_t InUse() const { return in_use_; }
  std::uint32_t Slots() const { return slots_; }

  /// The slots that can be busy at once, which the rate limit may keep below all slots.
  std::uint32_t UsableSlots() const;
  std::uint32_t Queued() const;

  /// Moving average of the target's service time for a route, in milliseconds; that of all routes
  /// while the route has no sample.
  double MeanServiceMs(const std::string& route) const;

  /// Expected work left in the requests that run or wait, in milliseconds. A running request is on
  /// average half done.
  double ExpectedWorkLeftMs() const;

  /// Expected time until all waiting requests have got a slot, in milliseconds.
  double ExpectedBacklogMs(time_point now) const;

 private:
  static constexpr std::size_t kClasses = 4;

  /// Moving averages of a route's responses.
  struct response_means {
    double bytes = 0;
    double work_ms = 0;
  };

  bool CanRun(const admission_request& request, time_point now) const;
  bool HasSlot(const admission_request& request) const;
  bool HasLinkCapacity(const admission_request& request) const;
  double LinkTransferMs(const std::string& route) const;
  double ExpectedLinkWaitMs(const admission_request& request) const;
  void Start(const admission_request& request, time_point now);
  bool IsTooLate(const admission_request& request, time_point now) const;
  double ExpectedWaitMs(const admission_request& request, time_point now) const;
  bool WillMissObjective(const admission_request& request, time_point now) const;

  std::uint32_t slots_ = 0;
  std::uint32_t in_use_ = 0;
  target_rate_limit rate_limit_;
  bool draining_ = false;
  double mean_service_ms_ = 0;
  std::map<std::string, double> service_ms_by_route_;
  double link_bytes_per_ms_ = 0;
  std::map<std::string, response_means> responses_by_route_;
  std::array<std::deque<admission_request>, kClasses> waiting_;
  std::map<std::string, std::int64_t> running_by_route_;
  std::map<std::string, std::int64_t> waiting_by_route_;
};

}  // namespace catkinmoor
