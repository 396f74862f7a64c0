#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"

namespace catkinmoor {

/// What a convergence run does.
struct convergence_settings {
  std::vector<endpoint> daemons;
  std::string token;
  std::string document;
  std::int64_t changes = 20;
  milliseconds pause{500};
  milliseconds rest{5'000};
  milliseconds limit{30'000};
  std::uint64_t seed = 1;
};

/// What all daemons together used in a stretch of time.
struct fleet_usage {
  double seconds = 0;
  double control_bytes = 0;
  double source_bytes = 0;
  double processor_seconds = 0;
  double source_reads = 0;
  double resident_bytes_most = 0;
};

/// What a convergence run saw. Times run from acceptance to in force at the last daemon.
struct convergence_report {
  std::uint64_t daemons = 0;
  std::vector<double> in_force_ms;
  std::uint64_t missed = 0;
  fleet_usage at_rest;
  fleet_usage changing;
};

/// Puts changes through daemons drawn at random, and waits for each to be in force everywhere.
result<convergence_report> RunConvergence(const convergence_settings& settings);

/// The report as JSON text, per daemon and second where that is meant.
std::string FormatReport(const convergence_report& report);

}  // namespace catkinmoor
