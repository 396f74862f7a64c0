#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "document/document.h"
#include "framework/base/clock.h"
#include "routing/load_board.h"

namespace catkinmoor::proxy_internal {

/// Names of the headers that daemons use among themselves and towards targets.
inline constexpr std::string_view kHeaderPrefix = "x-catkinmoor-";
inline constexpr const char* kOutcomeHeader = "x-catkinmoor-outcome";
inline constexpr const char* kReasonHeader = "x-catkinmoor-reason";
inline constexpr const char* kLoadHeader = "x-catkinmoor-load";
inline constexpr const char* kAttemptHeader = "x-catkinmoor-attempt";
inline constexpr const char* kIncarnationHeader = "x-catkinmoor-incarnation";
inline constexpr const char* kInstanceHeader = "x-catkinmoor-instance";
inline constexpr const char* kServiceHeader = "x-catkinmoor-service";
inline constexpr const char* kRouteHeader = "x-catkinmoor-route";
inline constexpr const char* kClassHeader = "x-catkinmoor-class";
inline constexpr const char* kLeftHeader = "x-catkinmoor-left-ms";
inline constexpr const char* kCallerHeader = "x-catkinmoor-caller";
inline constexpr const char* kDepthHeader = "x-catkinmoor-depth";
inline constexpr const char* kRepeatableHeader = "x-catkinmoor-repeatable";
inline constexpr const char* kConcurrencyHeader = "x-catkinmoor-concurrency";
inline constexpr const char* kQueueHeader = "x-catkinmoor-queue";
inline constexpr const char* kFingerprintHeader = "x-catkinmoor-fingerprint";
inline constexpr const char* kPriorityHeader = "x-catkinmoor-priority";
inline constexpr const char* kObjectiveHeader = "x-catkinmoor-objective-ms";
inline constexpr const char* kRetryHeader = "x-catkinmoor-retry-ms";
inline constexpr const char* kRequestIdHeader = "x-request-id";

/// Values of the outcome header.
inline constexpr const char* kNotRun = "not-run";
inline constexpr const char* kUnknown = "unknown";
inline constexpr const char* kRan = "ran";

/// Reason of an answer when the deadline passed.
inline constexpr const char* kDeadline = "deadline";

/// Reason of an answer to a request like those that crashed targets.
inline constexpr const char* kQuarantined = "quarantined";

/// Reason of an answer when the target itself turned the request away.
inline constexpr const char* kTargetRefused = "target-refused";

/// Reason of an answer when the target ended while it ran the request.
inline constexpr const char* kCrashed = "target-crashed";

/// What an entry tells a gate about a call.
struct gate_call {
  std::string attempt;
  std::uint64_t incarnation = 0;
  std::string instance;
  std::string service;
  std::string route;
  route_class kind = route_class::kBrowse;
  milliseconds deadline{0};
  bool repeatable = false;
  std::int64_t concurrency = 1;
  std::int64_t queue = 0;
  std::string fingerprint;
  std::string caller_service;
  std::int64_t priority = -1;
  std::string request_id;
  /// Time within which an answer serves the caller fully, if the route says so.
  std::optional<milliseconds> objective;

  friend bool operator==(const gate_call&, const gate_call&) = default;
};

/// Reads a whole decimal number, or nothing.
std::optional<std::int64_t> ParseNumber(std::string_view text);

/// The text of a load report and back.
std::string FormatLoad(const reported_load& load);
std::optional<reported_load> ParseLoad(std::string_view text);

/// The fields of a call. Fields is any Beast header.
template <typename Fields>
void WriteCall(const gate_call& call, Fields& to) {
  to.set(kAttemptHeader, call.attempt);
  to.set(kIncarnationHeader, std::to_string(call.incarnation));
  to.set(kInstanceHeader, call.instance);
  to.set(kServiceHeader, call.service);
  to.set(kRouteHeader, call.route);
  to.set(kClassHeader, std::to_string(static_cast<int>(call.kind)));
  to.set(kLeftHeader, std::to_string(call.deadline.count()));
  to.set(kRepeatableHeader, call.repeatable ? "1" : "0");
  to.set(kConcurrencyHeader, std::to_string(call.concurrency));
  to.set(kQueueHeader, std::to_string(call.queue));
  to.set(kFingerprintHeader, call.fingerprint);
  if (!call.caller_service.empty()) to.set(kCallerHeader, call.caller_service);
  if (call.objective) to.set(kObjectiveHeader, std::to_string(call.objective->count()));
  if (call.priority >= 0) to.set(kPriorityHeader, std::to_string(call.priority));
}

/// Reads a call, or nothing when a field is missing or malformed.
template <typename Fields>
std::optional<gate_call> ReadCall(const Fields& from) {
  const auto text = [&](const char* name) {
    const auto value = from[name];
    return std::string_view(value.data(), value.size());
  };
  const auto incarnation = ParseNumber(text(kIncarnationHeader));
  const auto kind = ParseNumber(text(kClassHeader));
  const auto deadline = ParseNumber(text(kLeftHeader));
  const auto concurrency = ParseNumber(text(kConcurrencyHeader));
  const auto queue = ParseNumber(text(kQueueHeader));
  const auto objective = ParseNumber(text(kObjectiveHeader));
  const bool whole = incarnation && kind && deadline && concurrency && queue &&
                     !text(kAttemptHeader).empty() && !text(kServiceHeader).empty();
  if (!whole || *kind < 0 || *kind > static_cast<int>(route_class::kDownload)) return std::nullopt;
  return gate_call{std::string(text(kAttemptHeader)),
                   static_cast<std::uint64_t>(*incarnation),
                   std::string(text(kInstanceHeader)),
                   std::string(text(kServiceHeader)),
                   std::string(text(kRouteHeader)),
                   static_cast<route_class>(*kind),
                   milliseconds(*deadline),
                   text(kRepeatableHeader) == "1",
                   *concurrency,
                   *queue,
                   std::string(text(kFingerprintHeader)),
                   std::string(text(kCallerHeader)),
                   ParseNumber(text(kPriorityHeader)).value_or(-1),
                   std::string(text(kRequestIdHeader)),
                   objective ? std::optional(milliseconds(*objective)) : std::nullopt};
}

}  // namespace catkinmoor::proxy_internal
