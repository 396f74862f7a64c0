#pragma once

#include <boost/asio/awaitable.hpp>
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

/// Gives out the target's slots to coroutines of any worker.
class slot_controller : public std::enable_shared_from_this<slot_controller> {
 public:
  /// A slot in use; given back at the end of its life.
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

  /// A place in the line. Its ticket can be given up from the same thread while it waits.
  struct place {
    explicit place(boost::asio::any_io_executor executor) : timer(executor) {}

    std::uint64_t ticket = 0;
    boost::asio::steady_timer timer;
    std::optional<admission_decision> decision;
  };
  using place_ptr = std::shared_ptr<place>;

  /// Waits for a slot. Yields the decision; with kRun the slot is taken and must be leased.
  boost::asio::awaitable<admission_decision> Acquire(admission_request request, place_ptr waiting);

  /// Gives a place in the line up.
  void Abandon(const place_ptr& waiting);

  void SetSlots(std::uint32_t slots);
  void SetLink(double bytes_per_ms);
  void NoteAnswer(const std::string& route, std::uint64_t bytes, milliseconds work);
  void Drain();

  /// Present use, for reports to entries on an answer of a route.
  reported_load Load(const std::string& route) const;

  /// When a request that was turned away for want of a slot is worth sending again.
  milliseconds RetryAfter() const;

 private:
  void Finish(const std::string& route, milliseconds service_time);
  void Release(const std::vector<admission_release>& released);

  mutable std::mutex mutex_;
  admission_queue queue_;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, place_ptr> places_;
};

}  // namespace catkinmoor::proxy_internal
