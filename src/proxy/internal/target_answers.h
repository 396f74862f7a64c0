#pragma once

#include <optional>

#include "framework/metrics/registry.h"
#include "proxy/internal/call_headers.h"
#include "proxy/internal/stream_http.h"

namespace catkinmoor::proxy_internal {

/// Bounds and names by which a gate reads its target's answers.
struct answer_reading {
  const proxy_settings& settings;
  metrics::registry& metrics;
};

/// Reads the header of the answer to a call. Interim answers, and late ones to earlier requests on
/// the connection, are passed over.
asio::awaitable<beast::error_code> ReadAnswerTo(const gate_call& call, connection& backend,
                                                std::optional<response_parser>& parser, bool head,
                                                time_point deadline, answer_reading how);

/// Whether a target's answer says that it has not run the request.
bool TurnsAway(const response_message& answer, const wire_dialect& dialect);

/// Whether an answer cannot be what the target meant to send.
bool IsSpoiled(const response_message& answer, const wire_dialect& dialect);

/// Reads the rest of a short answer that is not handed on. False when the connection cannot be used
/// again.
asio::awaitable<bool> DropAnswerBody(connection& backend, response_parser& parser,
                                     milliseconds progress);

}  // namespace catkinmoor::proxy_internal
