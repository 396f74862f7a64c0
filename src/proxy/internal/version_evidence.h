#pragma once

#include "proxy/internal/entry_call.h"
#include "rollout/version_router.h"

namespace catkinmoor::proxy_internal {

/// The targets that an attempt may use while the service is rolled out; all of them otherwise.
std::vector<member_ptr> RestrictVersions(version_router* versions, const call_state& call,
                                         bool first_attempt, std::vector<member_ptr> eligible);

/// Begins to record an attempt as evidence on the version of its target.
version_router::attempt BeginEvidence(version_router* versions, const call_state& call,
                                      const member_record& target);

void RecordEvidence(version_router::attempt& evidence, const attempt_result& attempt,
                    time_point sent_at);

}  // namespace catkinmoor::proxy_internal
