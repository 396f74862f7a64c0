#include "proxy/internal/wait_policy.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::member_record;
using catkinmoor::member_state;
using catkinmoor::request_fate;
using catkinmoor::proxy_internal::AssessResponse;
using catkinmoor::proxy_internal::response_prospect;
using catkinmoor::proxy_internal::wait_evidence;

constexpr std::uint64_t kAsked = 5;
constexpr std::uint64_t kLater = 6;

member_record GateIn(member_state state, std::uint64_t incarnation) {
  member_record gate;
  gate.version = {incarnation, 1, state};
  return gate;
}

}  // namespace

// A request was given up as lost when its gate's daemon was suspected, or had refuted a suspicion
// under a new incarnation, and left one query unanswered.
Test(assess_response, without_a_reply_is_at_most_doubtful) {
  const auto assess = [](const member_record* gate) {
    return AssessResponse(wait_evidence{std::nullopt, false, gate, kAsked});
  };
  const member_record alive = GateIn(member_state::kAlive, kAsked);
  cr_assert(assess(&alive) == response_prospect::kExpected);
  const member_record replaced = GateIn(member_state::kAlive, kLater);
  cr_assert(assess(&replaced) == response_prospect::kDoubtful);
  cr_assert(assess(nullptr) == response_prospect::kDoubtful);
  for (const auto state : {member_state::kSuspect, member_state::kDead, member_state::kLeft}) {
    for (const std::uint64_t incarnation : {kAsked, kLater}) {
      const member_record gate = GateIn(state, incarnation);
      cr_assert(assess(&gate) == response_prospect::kDoubtful);
    }
  }
}

// A response on its way over a slow link was given up after two replies that it had been sent.
Test(assess_response, with_a_reply_is_impossible_only_if_never_forwarded) {
  struct example {
    request_fate reply;
    response_prospect first;
    response_prospect after_responded;
  };
  const example examples[] = {
      {request_fate::kNeverForwarded, response_prospect::kImpossible,
       response_prospect::kImpossible},
      {request_fate::kWaiting, response_prospect::kExpected, response_prospect::kExpected},
      {request_fate::kForwarded, response_prospect::kExpected, response_prospect::kExpected},
      {request_fate::kResponded, response_prospect::kExpected, response_prospect::kDoubtful},
      {request_fate::kUnknown, response_prospect::kDoubtful, response_prospect::kDoubtful},
  };
  for (const auto state :
       {member_state::kAlive, member_state::kSuspect, member_state::kDead, member_state::kLeft}) {
    const member_record gate = GateIn(state, kAsked);
    for (const example& each : examples) {
      cr_assert(AssessResponse({each.reply, false, &gate, kAsked}) == each.first);
      cr_assert(AssessResponse({each.reply, true, &gate, kAsked}) == each.after_responded);
    }
  }
}
