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

/// Collects counters, gauges and latency histograms, and writes them in the Prometheus text format.
/// Thread-safe; the series are divided into shards, each under its own lock.
class registry {
 public:
  registry();
  ~registry();
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;

  /// Adds the amount to a counter, which starts at zero.
  void IncrementCounter(std::string_view name, const labels& series_labels = {},
                        std::uint64_t amount = 1);

  void SetGauge(std::string_view name, double value, const labels& series_labels = {});

  /// Adds one latency to the histogram and the summary (count, sum, maximum) of a series.
  void ObserveLatency(std::string_view name, std::chrono::nanoseconds latency,
                      const labels& series_labels = {});

  /// The current value of a counter, zero if it was never incremented.
  std::uint64_t CounterValue(std::string_view name, const labels& series_labels = {}) const;

  /// A quantile of the latencies of a series in seconds, zero if there are none.
  double LatencyQuantile(std::string_view name, double quantile,
                         const labels& series_labels = {}) const;

  /// All series in the Prometheus text format; latencies as quantile summaries in seconds.
  std::string PrometheusText() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace catkinmoor::metrics
