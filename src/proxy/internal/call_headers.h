#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "document/document.h"
#include "framework/base/clock.h"
#include "proxy/target_load_report.h"
#include "routing/load_board.h"

namespace catkinmoor::proxy_internal {

/// Headers exchanged between daemons and sent to targets.
inline constexpr std::string_view kHeaderPrefix = "x-catkinmoor-";
inline constexpr const char* kOutcomeHeader = "x-catkinmoor-outcome";
inline constexpr const char* kReasonHeader = "x-catkinmoor-reason";
inline constexpr const char* kLoadHeader = "x-catkinmoor-load";
inline constexpr const char* kAttemptHeader = "x-catkinmoor-attempt";
inline constexpr const char* kIncarnationHeader = "x-catkinmoor-incarnation";
inline constexpr const char* kInstanceHeader = "x-catkinmoor-instance";
inline constexpr const char* kServiceHeader = "x-catkinmoor-service";
inline constexpr const char* kRouteHeader = "x-catkinmoor-route";
inline constexpr const char* kRouteClassHeader = "x-catkinmoor-class";
inline constexpr const char* kTimeLeftHeader = "x-catkinmoor-left-ms";
inline constexpr const char* kCallerServiceHeader = "x-catkinmoor-caller";
inline constexpr const char* kDepthHeader = "x-catkinmoor-depth";
inline constexpr const char* kRepeatableHeader = "x-catkinmoor-repeatable";
inline constexpr const char* kConcurrencyHeader = "x-catkinmoor-concurrency";
inline constexpr const char* kQueueHeader = "x-catkinmoor-queue";
inline constexpr const char* kFingerprintHeader = "x-catkinmoor-fingerprint";
inline constexpr const char* kPriorityHeader = "x-catkinmoor-priority";
inline constexpr const char* kObjectiveHeader = "x-catkinmoor-objective-ms";
inline constexpr const char* kLimitHeader = "x-catkinmoor-limit";
inline constexpr const char* kRetryAfterHeader = "x-catkinmoor-retry-ms";
inline constexpr const char* kKeyValidityHeader = "x-catkinmoor-key-ms";
inline constexpr const char* kRequestIdHeader = "x-request-id";

/// Values of the outcome header.
inline constexpr const char* kOutcomeNotRun = "not-run";
inline constexpr const char* kOutcomeUnknown = "unknown";
inline constexpr const char* kOutcomeRan = "ran";

/// Response reason: the deadline passed.
inline constexpr const char* kReasonDeadline = "deadline";

/// Response reason: requests with the same fingerprint crashed targets.
inline constexpr const char* kReasonQuarantined = "quarantined";
inline constexpr const char* kReasonDraining = "draining";

/// Response reason: the caller's key may have been removed, and no proof to the contrary is recent.
inline constexpr const char* kReasonKeyUnconfirmed = "key-unconfirmed";

/// Response reason: the target itself rejected the request.
inline constexpr const char* kReasonTargetRefused = "target-refused";

/// Response reason: the target crashed while it was running the request.
inline constexpr const char* kReasonTargetCrashed = "target-crashed";

/// A request's properties that an entry sends to a gate in headers.
struct gate_call {
  std::string attempt;
  std::uint64_t incarnation = 0;
  std::string instance;
  std::string service;
  std::string route;
  route_class route_kind = route_class::kBrowse;
  milliseconds time_left{0};
  bool repeatable = false;
  std::int64_t concurrency = 1;
  std::int64_t queue = 0;
  std::string fingerprint;
  std::string caller_service;
  std::int64_t priority = -1;
  std::string request_id;
  /// Time left to meet the route's latency objective, if the route has one.
  std::optional<milliseconds> objective;
  /// Request rate limit that the entry learnt from the last response of the instance.
  std::optional<double> limit_per_second = std::nullopt;
  /// Until when the caller's key admits the request, if keys are bounded. Sent as the time left.
  std::optional<boot_time_point> key_valid_until = std::nullopt;

  friend bool operator==(const gate_call&, const gate_call&) = default;
};

/// Parses a decimal integer. Returns nothing if the text holds anything else.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Parses a decimal number that is not negative. Returns nothing if the text holds anything else.
std::optional<double> ParseDecimal(std::string_view text);

/// Formats and parses the value of the load header.
std::string FormatLoad(const reported_load& load);
std::optional<reported_load> ParseLoad(std::string_view text);

/// Parses the load that a target states in its responses. Returns nothing if the first three
/// numbers are missing or malformed; a fourth that is malformed counts as absent.
std::optional<target_load_report> ParseTargetLoad(std::string_view text, time_point received_at);

/// Room for the headers that an entry adds to a caller's request.
inline constexpr std::int64_t kCallHeaderBytes = 8 << 10;

/// Writes the headers of a call. Fields is any Beast header type.
template <typename Fields>
void WriteCallHeaders(const gate_call& call, Fields& fields) {
  fields.set(kAttemptHeader, call.attempt);
  fields.set(kIncarnationHeader, std::to_string(call.incarnation));
  fields.set(kInstanceHeader, call.instance);
  fields.set(kServiceHeader, call.service);
  fields.set(kRouteHeader, call.route);
  fields.set(kRouteClassHeader, std::to_string(static_cast<int>(call.route_kind)));
  fields.set(kTimeLeftHeader, std::to_string(call.time_left.count()));
  fields.set(kRepeatableHeader, call.repeatable ? "1" : "0");
  fields.set(kConcurrencyHeader, std::to_string(call.concurrency));
  fields.set(kQueueHeader, std::to_string(call.queue));
  fields.set(kFingerprintHeader, call.fingerprint);
  if (!call.caller_service.empty()) fields.set(kCallerServiceHeader, call.caller_service);
  if (call.objective) fields.set(kObjectiveHeader, std::to_string(call.objective->count()));
  if (call.limit_per_second) {
    fields.set(kLimitHeader, std::to_string(*call.limit_per_second));
  }
  if (call.key_valid_until) {
    const auto left = std::chrono::floor<milliseconds>(*call.key_valid_until - BootNow());
    fields.set(kKeyValidityHeader, std::to_string(std::max<std::int64_t>(0, left.count())));
  }
  if (call.priority >= 0) fields.set(kPriorityHeader, std::to_string(call.priority));
}

/// Reads the headers of a call. Returns nothing if a required one is missing or malformed.
template <typename Fields>
std::optional<gate_call> ReadCallHeaders(const Fields& fields) {
  const auto text = [&](const char* name) {
    const auto value = fields[name];
    return std::string_view(value.data(), value.size());
  };
  const auto incarnation = ParseInteger(text(kIncarnationHeader));
  const auto kind = ParseInteger(text(kRouteClassHeader));
  const auto time_left = ParseInteger(text(kTimeLeftHeader));
  const auto concurrency = ParseInteger(text(kConcurrencyHeader));
  const auto queue = ParseInteger(text(kQueueHeader));
  const auto objective = ParseInteger(text(kObjectiveHeader));
  const auto key_left = ParseInteger(text(kKeyValidityHeader));
  const bool valid = incarnation && kind && time_left && concurrency && queue &&
                     !text(kAttemptHeader).empty() && !text(kServiceHeader).empty();
  if (!valid || *kind < 0 || *kind > static_cast<int>(route_class::kDownload)) return std::nullopt;
  return gate_call{std::string(text(kAttemptHeader)),
                   static_cast<std::uint64_t>(*incarnation),
                   std::string(text(kInstanceHeader)),
                   std::string(text(kServiceHeader)),
                   std::string(text(kRouteHeader)),
                   static_cast<route_class>(*kind),
                   milliseconds(*time_left),
                   text(kRepeatableHeader) == "1",
                   *concurrency,
                   *queue,
                   std::string(text(kFingerprintHeader)),
                   std::string(text(kCallerServiceHeader)),
                   ParseInteger(text(kPriorityHeader)).value_or(-1),
                   std::string(text(kRequestIdHeader)),
                   objective ? std::optional(milliseconds(*objective)) : std::nullopt,
                   ParseDecimal(text(kLimitHeader)),
                   key_left ? std::optional(BootNow() + milliseconds(*key_left)) : std::nullopt};
}

}  // namespace catkinmoor::proxy_internal
