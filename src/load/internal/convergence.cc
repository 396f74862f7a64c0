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
constexpr milliseconds kPoll{20};

result<http::reply> Call(const convergence_settings& settings, const endpoint& daemon,
                         const std::string& method, const std::string& target,
                         const std::string& body = "") {
  http::request message{method, target, {}, body};
  message.headers["authorization"] = "Bearer " + settings.token;
  auto answer = http::SendAndWait(daemon, message, kCallTimeout);
  if (Ok(answer) && Value(answer).status != 200) {
    return error{error_kind::kRefused, method + " " + target, ToString(daemon), Value(answer).body};
  }
  return answer;
}

double MetricIn(const std::string& text, const std::string& name) {
  const auto found = text.find("\n" + name + " ");
  if (found == std::string::npos) return 0;
  return std::strtod(text.c_str() + found + name.size() + 2, nullptr);
}

/// Adds up what all daemons have used since their start.
result<fleet_usage> ReadUsage(const convergence_settings& settings) {
  fleet_usage usage;
  for (const endpoint& daemon : settings.daemons) {
    auto answer = Call(settings, daemon, "GET", "/metrics");
    if (!Ok(answer)) return Failure(answer);
    const std::string text = "\n" + Value(answer).body;
    usage.control_bytes += MetricIn(text, "catkinmoor_control_sent_bytes");
    usage.source_bytes += MetricIn(text, "catkinmoor_source_bytes");
    usage.processor_seconds += MetricIn(text, "catkinmoor_processor_seconds");
    usage.source_reads += MetricIn(text, "catkinmoor_source_reads_total");
    usage.resident_bytes_most =
        std::max(usage.resident_bytes_most, MetricIn(text, "catkinmoor_resident_bytes"));
  }
  return usage;
}

fleet_usage Between(const fleet_usage& before, const fleet_usage& after, double seconds) {
  return {seconds,
          after.control_bytes - before.control_bytes,
          after.source_bytes - before.source_bytes,
          after.processor_seconds - before.processor_seconds,
          after.source_reads - before.source_reads,
          after.resident_bytes_most};
}

/// The wall time at which a version came in force at a daemon, or nothing if it has not.
std::optional<std::uint64_t> InForceSince(const convergence_settings& settings,
                                          const endpoint& daemon, const std::string& service,
                                          std::uint64_t version) {
  auto answer = Call(settings, daemon, "GET", "/v1/documents");
  if (!Ok(answer)) return std::nullopt;
  const bj::value body = bj::parse(Value(answer).body);
  for (const bj::value& each : body.at("documents").as_array()) {
    if (each.at("service").as_string() != service) continue;
    if (each.at("version").to_number<std::uint64_t>() < version) return std::nullopt;
    return each.at("in_force_since_ms").to_number<std::uint64_t>();
  }
  return std::nullopt;
}

/// Milliseconds from acceptance until every daemon has the version, or nothing past the limit.
std::optional<double> AwaitEverywhere(const convergence_settings& settings,
                                      const std::string& service, std::uint64_t version,
                                      std::uint64_t accepted_ms) {
  const time_point end = Now() + settings.limit;
  std::uint64_t last = accepted_ms;
  for (const endpoint& daemon : settings.daemons) {
    std::optional<std::uint64_t> since;
    while (!since) {
      since = InForceSince(settings, daemon, service, version);
      if (since) break;
      if (Now() > end) return std::nullopt;
      std::this_thread::sleep_for(kPoll);
    }
    last = std::max(last, *since);
  }
  return static_cast<double>(last - accepted_ms);
}

/// The document with another deadline on its first route, so that every version has its own text.
std::string Varied(const std::string& text, std::uint64_t number) {
  return "// change " + std::to_string(number) + "\n" + text;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(quantile * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

bj::object UsageObject(const fleet_usage& usage, double daemons) {
  return {{"seconds", usage.seconds},
          {"control_bytes_per_daemon_s", usage.control_bytes / usage.seconds / daemons},
          {"source_bytes_per_s", usage.source_bytes / usage.seconds},
          {"processor_share_per_daemon", usage.processor_seconds / usage.seconds / daemons},
          {"source_reads_per_s", usage.source_reads / usage.seconds},
          {"resident_mb_most", usage.resident_bytes_most / 1e6}};
}

}  // namespace

result<convergence_report> RunConvergence(const convergence_settings& settings) {
  const auto parsed = ParseDocument(settings.document);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    return error{error_kind::kInvalid, "parse document", "", json::Describe(*problems)};
  }
  const std::string service = std::get<document>(parsed).service;
  convergence_report report;
  report.daemons = settings.daemons.size();
  std::mt19937_64 random(settings.seed);

  auto before = ReadUsage(settings);
  if (!Ok(before)) return Failure(before);
  const time_point rest_begin = Now();
  std::this_thread::sleep_for(settings.rest);
  auto rested = ReadUsage(settings);
  if (!Ok(rested)) return Failure(rested);
  const time_point changes_begin = Now();
  report.at_rest = Between(Value(before), Value(rested),
                           std::chrono::duration<double>(changes_begin - rest_begin).count());

  std::uint64_t version = 0;
  for (std::int64_t i = 0; i < settings.changes; ++i) {
    const endpoint& through = settings.daemons[std::uniform_int_distribution<std::size_t>(
        0, settings.daemons.size() - 1)(random)];
    auto answer = Call(settings, through, "PUT",
                       "/v1/documents/" + service + "?expect=" + std::to_string(version),
                       Varied(settings.document, settings.seed * 1'000'000 + i));
    if (!Ok(answer)) return Failure(answer);
    const bj::value body = bj::parse(Value(answer).body);
    version = body.at("version").to_number<std::uint64_t>();
    const auto in_force = AwaitEverywhere(settings, service, version,
                                          body.at("accepted_at_ms").to_number<std::uint64_t>());
    if (in_force) {
      report.in_force_ms.push_back(*in_force);
    } else {
      ++report.missed;
    }
    std::this_thread::sleep_for(settings.pause);
  }
  auto after = ReadUsage(settings);
  if (!Ok(after)) return Failure(after);
  report.changing = Between(Value(rested), Value(after),
                            std::chrono::duration<double>(Now() - changes_begin).count());
  return report;
}

std::string FormatReport(const convergence_report& report) {
  const auto daemons = static_cast<double>(report.daemons);
  const auto changes = static_cast<double>(report.in_force_ms.size() + report.missed);
  const double rest_rate = report.at_rest.control_bytes / report.at_rest.seconds;
  const double extra = report.changing.control_bytes - rest_rate * report.changing.seconds;
  return bj::serialize(
      bj::object{{"daemons", report.daemons},
                 {"changes", changes},
                 {"missed", report.missed},
                 {"in_force_ms", bj::object{{"p50", Quantile(report.in_force_ms, 0.5)},
                                            {"p99", Quantile(report.in_force_ms, 0.99)},
                                            {"max", Quantile(report.in_force_ms, 1)}}},
                 {"control_bytes_per_daemon_change", extra / changes / daemons},
                 {"at_rest", UsageObject(report.at_rest, daemons)},
                 {"changing", UsageObject(report.changing, daemons)}});
}

}  // namespace catkinmoor
