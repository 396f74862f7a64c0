#pragma once

#include <memory>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/http/client.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// Reaches the platform over its HTTP interface. The sender is shared with other users and must
/// outlive the client.
std::unique_ptr<platform_client> MakeHttpPlatformClient(http::client& sender, endpoint platform,
                                                        milliseconds timeout);

}  // namespace catkinmoor
