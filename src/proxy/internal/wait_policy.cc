#include "proxy/internal/wait_policy.h"

namespace catkinmoor::proxy_internal {
namespace {

bool IsAliveAsAsked(const wait_evidence& evidence) {
  return evidence.gate != nullptr && evidence.gate->version.state == member_state::kAlive &&
         evidence.gate->version.incarnation == evidence.asked_incarnation;
}

}  // namespace

response_prospect AssessResponse(const wait_evidence& evidence) {
  if (!evidence.reply) {
    return IsAliveAsAsked(evidence) ? response_prospect::kExpected : response_prospect::kDoubtful;
  }
  switch (*evidence.reply) {
    case request_fate::kNeverForwarded:
      return response_prospect::kImpossible;
    case request_fate::kResponded:
      // The response may have been in transit at the first query.
      return evidence.responded_before ? response_prospect::kDoubtful
                                       : response_prospect::kExpected;
    case request_fate::kUnknown:
      return response_prospect::kDoubtful;
    case request_fate::kWaiting:
    case request_fate::kForwarded:
      break;
  }
  return response_prospect::kExpected;
}

}  // namespace catkinmoor::proxy_internal
