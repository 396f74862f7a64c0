#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace catkinmoor::metrics {

/// Labels of one series, such as service and class.
using labels = std::map<std::string, std::string>;

/// Collects counters, gauges and latency histograms, and prints them in the Prometheus text format.
/// Safe to use from any thread; series are kept in shards, each under its own lock.
class registry {
 public:
  registry();
  ~registry();
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;

  /// Adds to a counter, which starts at zero.
  void Count(std::string_view name, const labels& series = {}, std::uint64_t amount = 1);

  /// Sets a gauge.
  void Set(std::string_view name, double value, const labels& series = {});

  /// Adds one latency to the histogram and the running mean and maximum of a series.
  void Observe(std::string_view name, std::chrono::nanoseconds latency, const labels& series = {});

  /// The present value of a counter, zero when it was never counted.
  std::uint64_t CounterValue(std::string_view name, const labels& series = {}) const;

  /// A quantile in seconds of an observed series, zero when nothing was observed.
  double Quantile(std::string_view name, double quantile, const labels& series = {}) const;

  /// Every series in the Prometheus text format; latencies as quantile summaries in seconds.
  std::string PrometheusText() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace catkinmoor::metrics
