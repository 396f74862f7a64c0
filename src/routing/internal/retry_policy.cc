#include "routing/retry_policy.h"

namespace catkinmoor {
const char* OutcomeName(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kResponded:
      return "answered";
    case attempt_outcome::kFailureResponse:
      return "failed";
    case attempt_outcome::kNotSent:
      return "not-sent";
    case attempt_outcome::kRefused:
      return "refused";
    case attempt_outcome::kRefusedOverload:
      return "refused-by-load";
    case attempt_outcome::kFenced:
      return "fenced";
    case attempt_outcome::kLost:
      break;
  }
  return "lost";
}

const char* StepName(next_step step) {
  switch (step) {
    case next_step::kDeliverResponse:
      return "deliver";
    case next_step::kRetry:
      return "try-another";
    case next_step::kQueryGate:
      return "ask-gate";
    case next_step::kReportNotRun:
      return "say-not-run";
    case next_step::kReportUnknown:
      break;
  }
  return "say-unknown";
}

}  // namespace catkinmoor
