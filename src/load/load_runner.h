#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "load/load_settings.h"

namespace catkinmoor {

/// How a request ended as its caller saw it.
enum class caller_outcome {
  kAnswered,  ///< A whole answer to this very request.
  kNotRun,    ///< Told that it did not run.
  kUnknown,   ///< Told that nobody knows whether it ran.
  kBroken,    ///< The connection broke, or nothing came in time.
  kWrong,     ///< An answer that is not whole or belongs to another request.
};

/// The name of an outcome as it stands in ledgers.
const char* OutcomeName(caller_outcome outcome);

/// Quantiles of one kind of request, in milliseconds.
struct latency_report {
  std::uint64_t count = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
};

/// What a load run saw.
struct load_report {
  double seconds = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, latency_report> latencies;
  std::uint64_t bytes = 0;
};

/// Sends a mixed load through entries, checks every answer and writes a ledger of each request.
load_report RunLoad(const load_settings& settings);

/// The report as JSON text.
std::string FormatReport(const load_report& report);

}  // namespace catkinmoor
