#pragma once

#include "distribution/quota_controller.h"
#include "proxy/internal/entry_call.h"

namespace catkinmoor::proxy_internal {

/// Takes a permit for a request whose workspace has a limit, once for all of its attempts. Returns
/// the response if there is none. `quotas` may be null.
asio::awaitable<std::optional<local_response>> TakePermit(quota_controller* quotas,
                                                          call_state& call);

}  // namespace catkinmoor::proxy_internal
