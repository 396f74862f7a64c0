#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"

namespace catkinmoor {

/// Settings of a convergence measurement. The fleet is measured without changes for `idle_period`
/// first. A change counts as missed after `timeout`.
struct convergence_settings {
  std::vector<endpoint> daemons;
  std::string token;
  std::string document;
  std::int64_t changes = 20;
  milliseconds pause_between_changes{500};
  milliseconds idle_period{5'000};
  milliseconds timeout{30'000};
  std::uint64_t seed = 1;
};

/// Resources that all daemons together used during a period, and the largest resident memory of one
/// daemon at its end.
struct fleet_usage {
  double seconds = 0;
  double control_bytes = 0;
  double source_bytes = 0;
  double processor_seconds = 0;
  double source_reads = 0;
  double max_resident_bytes = 0;
};

/// Result of a convergence measurement. A propagation time runs from the acceptance of a change
/// until it is in force at the last daemon; changes that exceed the timeout are counted as missed.
struct convergence_report {
  std::uint64_t daemons = 0;
  std::vector<double> propagation_ms;
  std::uint64_t missed_changes = 0;
  fleet_usage idle;
  fleet_usage under_change;
};

/// Measures an idle period, then puts changes through randomly chosen daemons and waits until each
/// change is in force at all daemons.
result<convergence_report> MeasureConvergence(const convergence_settings& settings);

/// The report as JSON text. Control traffic and processor time are given per daemon and second,
/// traffic of changes per daemon and change.
std::string FormatReport(const convergence_report& report);

}  // namespace catkinmoor
