#pragma once

#include <cstdint>

#include "document/document.h"
#include "framework/base/clock.h"
#include "membership/member.h"

namespace catkinmoor {

/// How one attempt ended.
enum class attempt_outcome {
  kResponded,        ///< The target returned a complete response header.
  kFailureResponse,  ///< As kResponded, but the target itself returned a failure response.
  kNotSent,          ///< Nothing reached the gate.
  kRefused,          ///< The gate stated that it did not and will not forward the request.
  kRefusedOverload,  ///< As kRefused, because of overload.
  kLost,             ///< The request was sent and no response arrived.
  kFenced,           ///< Lost, and then fenced: the gate will never forward the request.
};

/// What to do after an attempt.
enum class next_step { kDeliverResponse, kRetry, kQueryGate, kReportNotRun, kReportUnknown };

/// Names of outcomes and steps in logs.
const char* OutcomeName(attempt_outcome outcome);
const char* StepName(next_step step);

/// Input of the decision on the next step.
struct attempt_state {
  attempt_outcome outcome = attempt_outcome::kResponded;
  std::int64_t attempts_made = 1;
  bool body_replayable = true;
  bool gate_queried = false;
  /// Whether an earlier attempt was lost, so that the request may have run already.
  bool may_have_run = false;
  milliseconds time_left{0};
};

/// Maximum attempts in total when the latest one provably did not run the request.
inline constexpr std::int64_t kMaxAttemptsIfNotRun = 4;

/// The outcome to report when no further attempt is made. That the latest attempt did not run the
/// request does not exclude that an earlier lost one did.
inline next_step FinalStep(const attempt_state& state) {
  return state.may_have_run ? next_step::kReportUnknown : next_step::kReportNotRun;
}

/// Whether a request may be retried after an attempt that may have run it.
inline bool MayRepeat(const route& chosen_route, const attempt_state& state) {
  return chosen_route.repeatable && state.body_replayable &&
         state.attempts_made < chosen_route.attempts && state.time_left.count() > 0;
}

/// Decides what follows an attempt. A request that is not repeatable is retried only with proof
/// that it has not run; a repeatable one also after a lost or a failure response, up to the route's
/// number of attempts. take_budget takes a retry from the budget and returns whether there was one;
/// it is called only when the decision depends on it.
template <typename TakeBudget>
next_step DecideNext(const route& chosen_route, const attempt_state& state,
                     TakeBudget&& take_budget) {
  switch (state.outcome) {
    case attempt_outcome::kResponded:
      return next_step::kDeliverResponse;
    case attempt_outcome::kFailureResponse:
      return MayRepeat(chosen_route, state) && take_budget() ? next_step::kRetry
                                                             : next_step::kDeliverResponse;
    case attempt_outcome::kLost: {
      if (MayRepeat(chosen_route, state) && take_budget()) return next_step::kRetry;
      return state.gate_queried ? next_step::kReportUnknown : next_step::kQueryGate;
    }
    case attempt_outcome::kNotSent:
    case attempt_outcome::kRefused:
    case attempt_outcome::kRefusedOverload:
    case attempt_outcome::kFenced:
      break;
  }
  const bool can_retry = state.attempts_made < kMaxAttemptsIfNotRun && state.body_replayable &&
                         state.time_left.count() > 0;
  // A retry after a refusal due to overload adds load, so the retry budget must allow it.
  const bool refused_by_load = state.outcome == attempt_outcome::kRefusedOverload;
  if (can_retry && (!refused_by_load || take_budget())) return next_step::kRetry;
  return FinalStep(state);
}

}  // namespace catkinmoor
