#include "load/convergence.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <cstdlib>
#include <random>
#include <thread>

#include "document/document.h"
#include "framework/http/client.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;

constexpr milliseconds kCallTimeout{5'000};
constexpr milliseconds kPollInterval{20};

result<http::response> Call(const convergence_settings& settings, const endpoint& daemon,
                            const std::string& method, const std::string& target,
                            const std::string& body = "") {
  http::request message{method, target, {}, body};
  message.headers["authorization"] = "Bearer " + settings.token;
  auto response = http::SendBlocking(daemon, message, kCallTimeout);
  if (Ok(response) && Value(response).status != 200) {
    return error{error_kind::kRefused, method + " " + target, ToString(daemon),
                 Value(response).body};
  }
  return response;
}

double MetricValue(const std::string& text, const std::string& name) {
  const auto name_begin = text.find("\n" + name + " ");
  if (name_begin == std::string::npos) return 0;
  return std::strtod(text.c_str() + name_begin + name.size() + 2, nullptr);
}

/// Sums up the resource counters of all daemons since their start.
result<fleet_usage> ReadUsage(const convergence_settings& settings) {
  fleet_usage usage;
  for (const endpoint& daemon : settings.daemons) {
    auto response = Call(settings, daemon, "GET", "/metrics");
    if (!Ok(response)) return Failure(response);
    const std::string text = "\n" + Value(response).body;
    usage.control_bytes += MetricValue(text, "catkinmoor_control_sent_bytes");
    usage.source_bytes += MetricValue(text, "catkinmoor_source_bytes");
    usage.processor_seconds += MetricValue(text, "catkinmoor_processor_seconds");
    usage.source_reads += MetricValue(text, "catkinmoor_source_reads_total");
    usage.max_resident_bytes =
        std::max(usage.max_resident_bytes, MetricValue(text, "catkinmoor_resident_bytes"));
  }
  return usage;
}

fleet_usage UsageBetween(const fleet_usage& at_start, const fleet_usage& at_end, double seconds) {
  return {seconds,
          at_end.control_bytes - at_start.control_bytes,
          at_end.source_bytes - at_start.source_bytes,
          at_end.processor_seconds - at_start.processor_seconds,
          at_end.source_reads - at_start.source_reads,
          at_end.max_resident_bytes};
}

/// The wall-clock time in milliseconds at which a version came in force at a daemon, or nothing if
/// it has not.
std::optional<std::uint64_t> InForceSince(const convergence_settings& settings,
                                          const endpoint& daemon, const std::string& service,
                                          std::uint64_t version) {
  auto response = Call(settings, daemon, "GET", "/v1/documents");
  if (!Ok(response)) return std::nullopt;
  const bj::value body = bj::parse(Value(response).body);
  for (const bj::value& each : body.at("documents").as_array()) {
    if (each.at("service").as_string() != service) continue;
    if (each.at("version").to_number<std::uint64_t>() < version) return std::nullopt;
    return each.at("in_force_since_ms").to_number<std::uint64_t>();
  }
  return std::nullopt;
}

/// Milliseconds from acceptance until the version is in force at every daemon, or nothing if that
/// takes longer than the timeout.
std::optional<double> PropagationMilliseconds(const convergence_settings& settings,
                                              const std::string& service, std::uint64_t version,
                                              std::uint64_t accepted_ms) {
  const time_point deadline = Now() + settings.timeout;
  std::uint64_t latest_ms = accepted_ms;
  for (const endpoint& daemon : settings.daemons) {
    std::optional<std::uint64_t> in_force_since_ms;
    while (!in_force_since_ms) {
      in_force_since_ms = InForceSince(settings, daemon, service, version);
      if (in_force_since_ms) break;
      if (Now() > deadline) return std::nullopt;
      std::this_thread::sleep_for(kPollInterval);
    }
    latest_ms = std::max(latest_ms, *in_force_since_ms);
  }
  return static_cast<double>(latest_ms - accepted_ms);
}

/// The document with a comment that numbers the change, so that every version has a different text.
std::string WithChangeComment(const std::string& text, std::uint64_t number) {
  return "// change " + std::to_string(number) + "\n" + text;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(quantile * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

bj::object UsageToJson(const fleet_usage& usage, double daemons) {
  return {{"seconds", usage.seconds},
          {"control_bytes_per_daemon_s", usage.control_bytes / usage.seconds / daemons},
          {"source_bytes_per_s", usage.source_bytes / usage.seconds},
          {"processor_share_per_daemon", usage.processor_seconds / usage.seconds / daemons},
          {"source_reads_per_s", usage.source_reads / usage.seconds},
          {"resident_mb_most", usage.max_resident_bytes / 1e6}};
}

}  // namespace

result<convergence_report> MeasureConvergence(const convergence_settings& settings) {
  const auto parsed = ParseDocument(settings.document);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    return error{error_kind::kInvalid, "parse document", "", json::FormatProblems(*problems)};
  }
  const std::string service = std::get<document>(parsed).service;
  convergence_report report;
  report.daemons = settings.daemons.size();
  std::mt19937_64 random(settings.seed);

  auto at_start = ReadUsage(settings);
  if (!Ok(at_start)) return Failure(at_start);
  const time_point idle_begin = Now();
  std::this_thread::sleep_for(settings.idle_period);
  auto after_idle = ReadUsage(settings);
  if (!Ok(after_idle)) return Failure(after_idle);
  const time_point changes_begin = Now();
  report.idle = UsageBetween(Value(at_start), Value(after_idle),
                             std::chrono::duration<double>(changes_begin - idle_begin).count());

  std::uint64_t version = 0;
  for (std::int64_t i = 0; i < settings.changes; ++i) {
    const endpoint& daemon = settings.daemons[std::uniform_int_distribution<std::size_t>(
        0, settings.daemons.size() - 1)(random)];
    auto response = Call(settings, daemon, "PUT",
                         "/v1/documents/" + service + "?expect=" + std::to_string(version),
                         WithChangeComment(settings.document, settings.seed * 1'000'000 + i));
    if (!Ok(response)) return Failure(response);
    const bj::value body = bj::parse(Value(response).body);
    version = body.at("version").to_number<std::uint64_t>();
    const auto propagation_ms = PropagationMilliseconds(
        settings, service, version, body.at("accepted_at_ms").to_number<std::uint64_t>());
    if (propagation_ms) {
      report.propagation_ms.push_back(*propagation_ms);
    } else {
      ++report.missed_changes;
    }
    std::this_thread::sleep_for(settings.pause_between_changes);
  }
  auto at_end = ReadUsage(settings);
  if (!Ok(at_end)) return Failure(at_end);
  report.under_change = UsageBetween(Value(after_idle), Value(at_end),
                                     std::chrono::duration<double>(Now() - changes_begin).count());
  return report;
}

std::string FormatReport(const convergence_report& report) {
  const auto daemons = static_cast<double>(report.daemons);
  const auto changes = static_cast<double>(report.propagation_ms.size() + report.missed_changes);
  const double idle_bytes_per_s = report.idle.control_bytes / report.idle.seconds;
  const double change_bytes =
      report.under_change.control_bytes - idle_bytes_per_s * report.under_change.seconds;
  return bj::serialize(
      bj::object{{"daemons", report.daemons},
                 {"changes", changes},
                 {"missed", report.missed_changes},
                 {"in_force_ms", bj::object{{"p50", Quantile(report.propagation_ms, 0.5)},
                                            {"p99", Quantile(report.propagation_ms, 0.99)},
                                            {"max", Quantile(report.propagation_ms, 1)}}},
                 {"control_bytes_per_daemon_change", change_bytes / changes / daemons},
                 {"at_rest", UsageToJson(report.idle, daemons)},
                 {"changing", UsageToJson(report.under_change, daemons)}});
}

}  // namespace catkinmoor
