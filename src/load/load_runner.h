#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "load/load_settings.h"

namespace catkinmoor {

/// Outcome of a request as seen by its caller.
enum class caller_outcome {
  kAnswered,  ///< A complete response to this request.
  kNotRun,    ///< Reported as not run.
  kUnknown,   ///< Reported as unknown: it may have run.
  kBroken,    ///< The connection failed or timed out.
  kWrong,     ///< An error without a stated outcome, or a response with wrong content.
};

/// The name of an outcome in ledgers and reports.
const char* OutcomeName(caller_outcome outcome);

/// Latency quantiles of one kind of request. Only answered requests are counted.
struct latency_report {
  std::uint64_t count = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
};

/// Result of a load run.
struct load_report {
  double seconds = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, latency_report> latencies;
  std::uint64_t bytes = 0;
};

/// Sends a mixed load through entries, checks every response and writes each request with its
/// outcome to the caller ledger.
load_report RunLoad(const load_settings& settings);

/// The report as JSON text.
std::string FormatReport(const load_report& report);

}  // namespace catkinmoor
