#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/sharded_map.h"
#include "membership/member.h"

namespace catkinmoor {

/// How one attempt ended.
enum class attempt_outcome {
  kAnswered,       ///< A whole header came back from the target.
  kFailed,         ///< A whole header of a failure of the target's own came back.
  kNotSent,        ///< Nothing reached the gate.
  kRefused,        ///< The gate stated that the request was not and will not be handed on.
  kRefusedByLoad,  ///< The same, because of overload.
  kLost,           ///< Sent, and no answer came.
  kFencedNotRun,   ///< Lost, and then the gate stated that it never will be handed on.
};

/// What to do after an attempt.
enum class next_step { kDeliver, kTryAnother, kAskGate, kSayNotRun, kSayUnknown };

/// Names for logs.
const char* OutcomeName(attempt_outcome outcome);
const char* StepName(next_step step);

/// What the decision depends on.
struct attempt_state {
  attempt_outcome outcome = attempt_outcome::kAnswered;
  std::int64_t attempts_made = 1;
  bool body_replayable = true;
  bool gate_asked = false;
  /// Whether an earlier attempt was lost, so that the request may have run already.
  bool may_have_run = false;
  milliseconds time_left{0};
};

/// How many targets may be tried with proof that none ran the request before.
inline constexpr std::int64_t kProvenAttempts = 4;

/// Whether an attempt is given up whose gate could not be asked about it. A gate that is only slow
/// may have its target at work on the request, so others must have found its daemon gone first.
inline bool GivesUpUnheard(bool repeatable, const member_record* present,
                           std::uint64_t asked_incarnation) {
  if (!repeatable) return false;
  if (present == nullptr) return true;
  return present->version.state != member_state::kAlive ||
         present->version.incarnation != asked_incarnation;
}

/// What to say when no further attempt is made: that this attempt did not run says nothing of an
/// earlier one that was lost.
inline next_step GiveUp(const attempt_state& state) {
  return state.may_have_run ? next_step::kSayUnknown : next_step::kSayNotRun;
}

/// Whether a request may be run again after an attempt that may have run it.
inline bool MayRepeat(const route& chosen_route, const attempt_state& state) {
  return chosen_route.repeatable && state.body_replayable &&
         state.attempts_made < chosen_route.attempts && state.time_left.count() > 0;
}

/// Decides what follows an attempt. A request that is not repeatable goes on only with proof that
/// it has not run; a repeatable one also after an answer was lost or told of a failure, within its
/// attempts. Whether the
/// budget allows a repetition is asked through a function, which is called only when it matters.
template <typename TakeBudget>
next_step DecideNext(const route& chosen_route, const attempt_state& state,
                     TakeBudget&& take_budget) {
  switch (state.outcome) {
    case attempt_outcome::kAnswered:
      return next_step::kDeliver;
    case attempt_outcome::kFailed:
      return MayRepeat(chosen_route, state) && take_budget() ? next_step::kTryAnother
                                                             : next_step::kDeliver;
    case attempt_outcome::kLost: {
      if (MayRepeat(chosen_route, state) && take_budget()) return next_step::kTryAnother;
      return state.gate_asked ? next_step::kSayUnknown : next_step::kAskGate;
    }
    case attempt_outcome::kNotSent:
    case attempt_outcome::kRefused:
    case attempt_outcome::kRefusedByLoad:
    case attempt_outcome::kFencedNotRun:
      break;
  }
  const bool can_go_on =
      state.attempts_made < kProvenAttempts && state.body_replayable && state.time_left.count() > 0;
  // Going on after a refusal by load adds load, so it needs the budget's leave.
  const bool by_load = state.outcome == attempt_outcome::kRefusedByLoad;
  if (can_go_on && (!by_load || take_budget())) return next_step::kTryAnother;
  return GiveUp(state);
}

/// Lets retries be a bounded share of first tries, by service. Holds no clock.
class retry_budget {
 public:
  /// Notes a first try, which earns a share of a retry.
  void OnFirstTry(const std::string& service, const retry_budget_settings& settings,
                  time_point now);

  /// Takes one retry if the budget holds one.
  bool Take(const std::string& service, const retry_budget_settings& settings, time_point now);

  /// Sets how many daemons share what the whole fleet may save up.
  void SetDaemons(std::size_t count) { daemons_ = count; }

 private:
  struct bucket {
    double tokens = 0;
    time_point refilled{};
  };

  void Refill(bucket& of, const retry_budget_settings& settings, time_point now) const;

  sharded_map<std::string, bucket> buckets_;
  std::atomic<std::size_t> daemons_ = 1;
};

}  // namespace catkinmoor
