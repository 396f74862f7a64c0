#pragma once

#include <optional>

#include "framework/http/response_reader.h"
#include "framework/metrics/registry.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/http_stream.h"

namespace catkinmoor::proxy_internal {

/// Limits, header names and metrics used when a gate reads its target's responses.
struct response_read_context {
  const proxy_settings& settings;
  metrics::registry& metrics;
};

/// Reads the header of the response to a call. Skips interim (1xx) responses and late responses to
/// earlier requests on the connection.
asio::awaitable<http::head_result> ReadResponseHeader(const gate_call& call, connection& backend,
                                                      std::optional<response_parser>& parser,
                                                      bool is_head, time_point deadline,
                                                      response_read_context context);

/// Whether a target's response states that it has not run the request.
bool IsNotRunResponse(const response_message& response, const http_conventions& conventions);

/// The request rate limit after a response, in requests per second: the one that it names, none if
/// it does not name one, the present one if what it names cannot be read.
std::optional<double> LimitOf(const response_message& response, const http_conventions& conventions,
                              std::optional<double> present);

/// Whether a response states that its target is leaving.
bool IsLeavingResponse(const response_message& response, const http_conventions& conventions);

/// Whether a success response lacks the header of a genuine one or carries a content encoding, so
/// that it cannot be what the target sent. Never true if the platform has no such header.
bool IsCorrupted(const response_message& response, const http_conventions& conventions);

/// Reads and discards the rest of a short response that is not forwarded, until a deadline. Returns
/// false if the connection cannot be reused.
asio::awaitable<bool> DiscardResponseBody(connection& backend, response_parser& parser,
                                          time_point deadline);

/// When a response whose body nobody waits for has to be complete: its connection is closed then.
time_point DiscardDeadline();

}  // namespace catkinmoor::proxy_internal
