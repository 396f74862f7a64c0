#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_queue.h"
#include "routing/load_board.h"

namespace catkinmoor::proxy_internal {

/// Allocates the target's slots to coroutines on any worker.
class slot_controller : public std::enable_shared_from_this<slot_controller> {
 public:
  /// Requests that wait for the target's rate limit are started on the given context.
  explicit slot_controller(boost::asio::io_context& context) : context_(context), timer_(context) {}

  /// A slot in use; released on destruction.
  class lease {
   public:
    lease(std::shared_ptr<slot_controller> owner, std::string route);
    ~lease();
    lease(const lease&) = delete;
    lease& operator=(const lease&) = delete;

   private:
    std::shared_ptr<slot_controller> owner_;
    std::string route_;
    time_point since_;
  };

  /// A waiting request. The wait can be cancelled from the thread of its coroutine.
  struct waiting_request {
    explicit waiting_request(boost::asio::any_io_executor executor) : timer(executor) {}

    std::uint64_t ticket = 0;
    boost::asio::steady_timer timer;
    std::optional<admission_decision> decision;
  };
  using waiting_request_ptr = std::shared_ptr<waiting_request>;

  /// Waits for a slot and returns the decision. With kRun the slot is taken, and the caller must
  /// hold it in a lease.
  boost::asio::awaitable<admission_decision> Acquire(admission_request request,
                                                     waiting_request_ptr waiter);

  /// Ends a wait before its deadline; Acquire then returns a refusal unless a slot has been
  /// granted.
  void CancelWait(const waiting_request_ptr& waiter);

  void SetSlots(std::uint32_t slots);
  void SetLinkRate(double bytes_per_ms);
  void RecordResponse(const std::string& route, std::uint64_t bytes, milliseconds processing_time);
  void Drain();

  /// Applies the request rate limit that a response of the target names; nothing if it names none.
  void OnTargetResponse(std::optional<double> limit_per_second);

  /// Applies the limit that an entry learnt from an earlier response of the same instance.
  void OnEntryLimit(double limit_per_second);

  /// Forgets the rate limit, for a new instance of the target.
  void ResetRateLimit();

  /// The request rate limit in force; nothing if there is none.
  std::optional<double> RateLimit() const;

  /// Records the pace that the target stated, in per cent of the usual time that work takes.
  void OnTargetPace(std::uint32_t percent);

  /// Current load, reported to entries with a response of the route.
  reported_load Load(const std::string& route) const;

  /// Time after which a request that was refused for lack of a slot is worth retrying.
  milliseconds RetryAfter() const;

 private:
  void Finish(const std::string& route, milliseconds service_time);
  void WakeWaiters(const std::vector<queue_release>& released);

  /// Schedules the next start of a request that waits for the rate limit. Called with the lock
  /// held.
  void ScheduleStart();
  void StartAllowed();

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  mutable std::mutex mutex_;
  std::optional<time_point> scheduled_start_;
  admission_queue queue_;
  std::uint32_t pace_percent_ = 0;
  /// Moving average of the pace, by which service times are converted to the usual pace.
  double mean_pace_ = 1;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, waiting_request_ptr> waiters_;
};

}  // namespace catkinmoor::proxy_internal
