#pragma once

#include <memory>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/http/client.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// Creates a client of the platform's HTTP interface. The HTTP client is shared with other users
/// and must outlive the result.
std::unique_ptr<platform_client> MakeHttpPlatformClient(http::client& http_client,
                                                        endpoint platform, milliseconds timeout);

}  // namespace catkinmoor
