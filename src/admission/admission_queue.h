#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "document/document.h"
#include "framework/base/clock.h"

namespace catkinmoor {

/// Why a request was not admitted.
enum class refusal { kNone, kDraining, kQueueFull, kTooLate, kNoTarget };

/// The name of a refusal as it stands in answers and metrics.
const char* RefusalName(refusal reason);

/// A request that asks for a slot of the target.
struct admission_request {
  std::uint64_t ticket = 0;
  route_class kind = route_class::kBrowse;
  std::string route;
  std::int64_t concurrency = 1;
  std::int64_t queue = 0;
  time_point deadline{};
  /// Rank among waiting requests, 0 first; -1 follows the class.
  std::int64_t priority = -1;
  /// When an answer should be there to serve the caller fully; unset when nothing is said of it.
  std::optional<time_point> objective;
};

/// What to do with a request now.
enum class admission { kRun, kWait, kRefuse };

struct admission_decision {
  admission what = admission::kRefuse;
  refusal reason = refusal::kNone;

  friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// A waiting request whose fate is decided.
struct admission_release {
  std::uint64_t ticket = 0;
  admission_decision decision;

  friend bool operator==(const admission_release&, const admission_release&) = default;
};

/// Shares the target's slots among classes. Requests with an objective are turned away as soon as
/// they are not expected to meet it, so that work done late does not displace work done in time.
/// Without one, bookings may wait until their deadline; the other classes are turned away when the
/// expected wait exceeds what is left of theirs.
/// Long answers share the vm's link besides, so that of routes that give such only so many run as
/// it can carry.
/// A plain state machine: time comes in as an argument, and the caller holds the lock.
class admission_queue {
 public:
  /// Sets how many requests the target runs at once. Zero means that there is no target.
  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// Sets the rate at which the link carries answers. Zero means that it carries any.
  void SetLink(double bytes_per_ms) { link_bytes_per_ms_ = bytes_per_ms; }

  /// Notes the length of an answer that went over the link, and how long the target worked before
  /// it began to answer.
  void NoteAnswer(const std::string& route, std::uint64_t bytes, milliseconds work);

  /// Turns new and waiting requests away from now on. Yields the waiting ones.
  std::vector<admission_release> Drain();
  void Reopen() { draining_ = false; }

  admission_decision Arrive(const admission_request& request, time_point now);

  /// Notes that a running request ended after a service time. Yields the waiting requests that can
  /// run now and those that are too late.
  std::vector<admission_release> Finish(const std::string& route, milliseconds service_time,
                                        time_point now);

  /// Yields waiting requests whose deadline passed, and those that can run after slots were added.
  std::vector<admission_release> Advance(time_point now);

  /// Forgets a waiting request whose caller went away. False when it was not waiting.
  bool Abandon(std::uint64_t ticket);

  std::uint32_t InUse() const { return in_use_; }
  std::uint32_t Slots() const { return slots_; }
  std::uint32_t Queued() const;

  /// Mean time that the target took for a route's requests lately, in milliseconds; that of all
  /// routes while the route has none.
  double ServiceMs(const std::string& route) const;

  /// Time in which the waiting requests are expected to have got a slot, in milliseconds.
  double BacklogMs() const;

 private:
  static constexpr std::size_t kClasses = 4;

  /// Means of a route's answers.
  struct answer_size {
    double bytes = 0;
    double work_ms = 0;
  };

  bool CanRun(const admission_request& request) const;
  bool HasSlot(const admission_request& request) const;
  bool HasLink(const admission_request& request) const;
  double LinkMs(const std::string& route) const;
  double ExpectedLinkWaitMs(const admission_request& request) const;
  void Start(const admission_request& request);
  bool IsTooLate(const admission_request& request, time_point now) const;
  double ExpectedWaitMs(const admission_request& request) const;
  bool CannotMeet(const admission_request& request, time_point now) const;

  std::uint32_t slots_ = 0;
  std::uint32_t in_use_ = 0;
  bool draining_ = false;
  double mean_service_ms_ = 0;
  std::map<std::string, double> service_ms_by_route_;
  double link_bytes_per_ms_ = 0;
  std::map<std::string, answer_size> answers_by_route_;
  std::array<std::deque<admission_request>, kClasses> waiting_;
  std::map<std::string, std::int64_t> running_by_route_;
  std::map<std::string, std::int64_t> waiting_by_route_;
};

}  // namespace catkinmoor
