#include "proxy/internal/version_evidence.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr unsigned kMinServerError = 500;

evidence_outcome OutcomeOf(const attempt_result& attempt) {
  switch (attempt.outcome) {
    case attempt_outcome::kResponded:
    case attempt_outcome::kFailureResponse: {
      const bool failed =
          attempt.response != nullptr && attempt.response->get().result_int() >= kMinServerError;
      return failed ? evidence_outcome::kFailure : evidence_outcome::kSuccess;
    }
    case attempt_outcome::kLost:
      return evidence_outcome::kFailure;
    case attempt_outcome::kNotSent:
    case attempt_outcome::kRefused:
    case attempt_outcome::kRefusedOverload:
    case attempt_outcome::kFenced:
      break;
  }
  return evidence_outcome::kNotRun;
}

}  // namespace

std::vector<member_ptr> RestrictVersions(version_router* versions, const call_state& call,
                                         bool first_attempt, std::vector<member_ptr> eligible) {
  if (versions == nullptr || !versions->IsActive()) return eligible;
  return versions->Restrict(call.service, first_attempt, std::move(eligible));
}

version_router::attempt BeginEvidence(version_router* versions, const call_state& call,
                                      const member_record& target) {
  if (versions == nullptr || !versions->IsActive()) return {};
  return {*versions, call.service, call.matched_route->name, target, UnixMilliseconds()};
}

void RecordEvidence(version_router::attempt& evidence, const attempt_result& attempt,
                    time_point sent_at) {
  evidence.OnOutcome(OutcomeOf(attempt), std::chrono::duration_cast<milliseconds>(Now() - sent_at));
}

}  // namespace catkinmoor::proxy_internal
