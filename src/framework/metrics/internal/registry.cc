#include "framework/metrics/registry.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <functional>
#include <mutex>
#include <set>
#include <sstream>
#include <unordered_map>

namespace catkinmoor::metrics {
namespace {

namespace acc = boost::accumulators;
namespace bh = boost::histogram;

// Bins from 1 microsecond to 1000 seconds on a logarithmic axis, 2.3% apart.
constexpr double kMinSeconds = 1e-6;
constexpr double kMaxSeconds = 1e3;
constexpr int kBins = 900;
constexpr std::size_t kShards = 8;
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds)));
using latency_summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::max>>;

struct latency_series {
  latency_histogram histogram = bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds));
  latency_summary summary;
};

std::string FormatLabels(const labels& series_labels, const std::string& extra_label = "") {
  std::string text;
  for (const auto& [name, value] : series_labels) {
    if (!text.empty()) text += ",";
    text += name;
    text += "=\"";
    text += value;
    text += "\"";
  }
  if (!extra_label.empty()) text += (text.empty() ? "" : ",") + extra_label;
  return text.empty() ? "" : "{" + text + "}";
}

std::string SeriesKey(std::string_view name, const labels& series_labels) {
  return std::string(name) + FormatLabels(series_labels);
}

double QuantileOf(const latency_series& from, double quantile) {
  const double rank = quantile * static_cast<double>(acc::count(from.summary));
  double cumulative = 0;
  const auto& axis = from.histogram.axis();
  for (int bin = -1; bin <= axis.size(); ++bin) {
    cumulative += from.histogram.at(bin);
    if (cumulative >= rank && cumulative > 0)
      return std::min(axis.value(bin + 1), acc::max(from.summary));
  }
  return 0;
}

}  // namespace

struct registry::state {
  struct latency_entry {
    std::string name;
    labels series_labels;
    latency_series values;
  };
  struct shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::uint64_t> counters;
    std::unordered_map<std::string, double> gauges;
    std::unordered_map<std::string, latency_entry> latencies;
  };
  std::array<shard, kShards> shards;

  shard& ShardOf(const std::string& key) { return shards[std::hash<std::string>{}(key) % kShards]; }
};

registry::registry() : state_(std::make_unique<state>()) {}
registry::~registry() = default;

void registry::IncrementCounter(std::string_view name, const labels& series_labels,
                                std::uint64_t amount) {
  const std::string key = SeriesKey(name, series_labels);
  auto& owner = state_->ShardOf(key);
  const std::lock_guard<std::mutex> lock(owner.mutex);
  owner.counters[key] += amount;
}

void registry::SetGauge(std::string_view name, double value, const labels& series_labels) {
  const std::string key = SeriesKey(name, series_labels);
  auto& owner = state_->ShardOf(key);
  const std::lock_guard<std::mutex> lock(owner.mutex);
  owner.gauges[key] = value;
}

void registry::ObserveLatency(std::string_view name, std::chrono::nanoseconds latency,
                              const labels& series_labels) {
  const std::string key = SeriesKey(name, series_labels);
  auto& owner = state_->ShardOf(key);
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard<std::mutex> lock(owner.mutex);
  auto [entry, added] = owner.latencies.try_emplace(key);
  if (added) {
    entry->second.name = name;
    entry->second.series_labels = series_labels;
  }
  entry->second.values.histogram(seconds);
  entry->second.values.summary(seconds);
}

std::uint64_t registry::CounterValue(std::string_view name, const labels& series_labels) const {
  const std::string key = SeriesKey(name, series_labels);
  auto& owner = state_->ShardOf(key);
  const std::lock_guard<std::mutex> lock(owner.mutex);
  const auto found = owner.counters.find(key);
  return found == owner.counters.end() ? 0 : found->second;
}

double registry::LatencyQuantile(std::string_view name, double quantile,
                                 const labels& series_labels) const {
  const std::string key = SeriesKey(name, series_labels);
  auto& owner = state_->ShardOf(key);
  const std::lock_guard<std::mutex> lock(owner.mutex);
  const auto found = owner.latencies.find(key);
  return found == owner.latencies.end() ? 0 : QuantileOf(found->second.values, quantile);
}

std::string registry::PrometheusText() const {
  std::set<std::string> lines;
  for (const auto& owner : state_->shards) {
    const std::lock_guard<std::mutex> lock(owner.mutex);
    std::ostringstream line;
    const auto add = [&](const std::string& key, const auto& value) {
      line.str("");
      line << key << " " << value;
      lines.insert(line.str());
    };
    for (const auto& [key, value] : owner.counters) add(key, value);
    for (const auto& [key, value] : owner.gauges) add(key, value);
    for (const auto& [key, entry] : owner.latencies) {
      for (const double quantile : kQuantiles) {
        std::ostringstream label;
        label << "quantile=\"" << quantile << "\"";
        add(entry.name + FormatLabels(entry.series_labels, label.str()),
            QuantileOf(entry.values, quantile));
      }
      add(entry.name + "_count" + FormatLabels(entry.series_labels),
          acc::count(entry.values.summary));
      add(entry.name + "_sum" + FormatLabels(entry.series_labels), acc::sum(entry.values.summary));
      add(entry.name + "_max" + FormatLabels(entry.series_labels), acc::max(entry.values.summary));
    }
  }
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

}  // namespace catkinmoor::metrics
