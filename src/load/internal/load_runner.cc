#include "load/load_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <memory>
#include <random>

#include "framework/metrics/registry.h"
#include "stand_in/target_stand_in.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace bj = boost::json;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr const char* kLatency = "latency";

/// One request of the load.
struct load_request {
  std::string kind;
  std::string method;
  std::string path;
  std::string id;
  std::uint64_t expected_bytes = 0;
};

/// Result of one request.
struct load_result {
  caller_outcome outcome = caller_outcome::kBroken;
  unsigned status = 0;
  bool keep_alive = false;
};

caller_outcome OutcomeFromResponse(const bhttp::fields& fields, unsigned status) {
  const auto outcome = fields["x-catkinmoor-outcome"];
  if (outcome == "not-run") return caller_outcome::kNotRun;
  if (outcome == "unknown") return caller_outcome::kUnknown;
  return status < 300 ? caller_outcome::kAnswered : caller_outcome::kWrong;
}

/// State of one run, shared by all callers. Runs on a single thread.
class load_run {
 public:
  explicit load_run(const load_settings& settings) : settings_(settings), random_(settings.seed) {
    if (!settings.ledger_path.empty()) ledger_.open(settings.ledger_path);
  }

  load_report Run() {
    start_ = Now();
    end_ = start_ + std::chrono::duration_cast<milliseconds>(
                        std::chrono::duration<double>(settings_.seconds));
    for (std::int64_t i = 0; i < settings_.callers; ++i) {
      asio::co_spawn(context_, RunCaller(static_cast<std::size_t>(i)), asio::detached);
    }
    context_.run();
    return MakeReport();
  }

 private:
  asio::awaitable<void> RunCaller(std::size_t index) {
    const endpoint entry = settings_.entries[index % settings_.entries.size()];
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    asio::steady_timer timer(context_);
    // The starts of the callers are spread evenly over one interval, so that the rate is constant
    // from the beginning.
    time_point next_start =
        start_ + CallerInterval() * static_cast<std::int64_t>(index) / settings_.callers;
    while (Now() < end_) {
      if (settings_.requests_per_s > 0) {
        timer.expires_at(next_start);
        co_await timer.async_wait(kAwait);
        next_start += CallerInterval();
      }
      const load_request request = DrawRequest();
      const time_point start = settings_.requests_per_s > 0 ? timer.expiry() : Now();
      load_result result;
      if (stream == nullptr) {
        buffer.clear();
        stream = std::make_unique<beast::tcp_stream>(context_);
        stream->expires_after(settings_.timeout);
        const asio::ip::tcp::endpoint remote(asio::ip::make_address(entry.address), entry.port);
        auto [failed] = co_await stream->async_connect(remote, kAwait);
        if (failed) {
          stream.reset();
        } else {
          stream->socket().set_option(asio::ip::tcp::no_delay(true));
        }
      }
      if (stream != nullptr) result = co_await Send(*stream, buffer, request);
      if (!result.keep_alive) stream.reset();
      RecordResult(request, result, Now() - start);
      if (result.outcome == caller_outcome::kBroken) {
        timer.expires_after(milliseconds(20));
        co_await timer.async_wait(kAwait);
      }
    }
  }

  std::chrono::nanoseconds CallerInterval() const {
    if (settings_.requests_per_s <= 0) return std::chrono::nanoseconds(0);
    const double seconds = static_cast<double>(settings_.callers) / settings_.requests_per_s;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
  }

  load_request DrawRequest() {
    const load_mix& mix = settings_.mix;
    std::uniform_int_distribution<std::int64_t> distribution(
        0, mix.browse + mix.booking + mix.download - 1);
    const std::int64_t position_in_mix = distribution(random_);
    load_request request{
        "browse", "GET", "/slots",
        "load-" + std::to_string(settings_.seed) + "-" + std::to_string(++last_id_)};
    if (position_in_mix >= mix.browse + mix.booking) {
      request.kind = "download";
      request.path = "/bytes?count=" + std::to_string(settings_.download_bytes);
      request.expected_bytes = static_cast<std::uint64_t>(settings_.download_bytes);
    } else if (position_in_mix >= mix.browse) {
      request.kind = "booking";
      request.method = "POST";
      request.path = "/holds/" + request.id;
    }
    if (settings_.work_ms > 0 && request.kind != "download") {
      request.path += "?work_ms=" + std::to_string(settings_.work_ms);
    }
    return request;
  }

  asio::awaitable<load_result> Send(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                    const load_request& request) {
    bhttp::request<bhttp::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(11);
    message.set(bhttp::field::host, settings_.service);
    message.set("x-request-id", request.id);
    if (request.method == "POST") message.body() = "hold " + request.id;
    message.prepare_payload();
    stream.expires_after(settings_.timeout);
    load_result result;
    auto [write_failed, written] = co_await bhttp::async_write(stream, message, kAwait);
    if (write_failed) co_return result;
    bhttp::response_parser<bhttp::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [head_failed, head_count] =
        co_await bhttp::async_read_header(stream, buffer, parser, kAwait);
    if (head_failed) co_return result;
    result.status = parser.get().result_int();
    std::string body;
    std::uint64_t position = 0;
    bool matches_pattern = true;
    std::vector<char> block(request.expected_bytes > 0 ? kBlockBytes : kBlockBytes / 16);
    while (!parser.is_done()) {
      parser.get().body().data = block.data();
      parser.get().body().size = block.size();
      stream.expires_after(settings_.timeout);
      auto [failed, count] = co_await bhttp::async_read_some(stream, buffer, parser, kAwait);
      if (failed && failed != bhttp::error::need_buffer) co_return result;
      const std::size_t got = block.size() - parser.get().body().size;
      if (request.expected_bytes == 0) {
        body.append(block.data(), got);
      } else {
        for (std::size_t i = 0; i < got && matches_pattern; ++i)
          matches_pattern = block[i] == PatternByte(position + i);
      }
      position += got;
    }
    bytes_ += position;
    result.keep_alive = parser.keep_alive();
    result.outcome = OutcomeFromResponse(parser.get(), result.status);
    if (result.outcome == caller_outcome::kAnswered) {
      const bool valid = request.expected_bytes > 0
                             ? matches_pattern && position == request.expected_bytes
                             : body.find("\"request\":\"" + request.id + "\"") != std::string::npos;
      if (!valid) result.outcome = caller_outcome::kWrong;
    }
    co_return result;
  }

  void RecordResult(const load_request& request, const load_result& result,
                    std::chrono::nanoseconds latency) {
    ++outcomes_[OutcomeName(result.outcome)];
    if (result.outcome == caller_outcome::kAnswered) {
      metrics_.ObserveLatency(kLatency, latency, {{"kind", request.kind}});
      auto& max_latency = max_latencies_[request.kind];
      max_latency = std::max(max_latency, latency);
      ++answered_counts_[request.kind];
    }
    if (!ledger_.is_open()) return;
    ledger_ << bj::serialize(bj::object{{"request", request.id},
                                        {"kind", request.kind},
                                        {"status", result.status},
                                        {"outcome", OutcomeName(result.outcome)}})
            << "\n";
  }

  load_report MakeReport() const {
    load_report report;
    report.seconds = std::chrono::duration<double>(Now() - start_).count();
    report.outcomes = outcomes_;
    report.bytes = bytes_;
    for (const auto& [kind, count] : answered_counts_) {
      const metrics::labels series = {{"kind", kind}};
      const auto in_ms = [&](double quantile) {
        return metrics_.LatencyQuantile(kLatency, quantile, series) * 1e3;
      };
      const double max_latency =
          std::chrono::duration<double, std::milli>(max_latencies_.at(kind)).count();
      report.latencies[kind] = {count, in_ms(0.5), in_ms(0.9), in_ms(0.99), max_latency};
    }
    return report;
  }

  const load_settings& settings_;
  asio::io_context context_{1};
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  time_point start_;
  time_point end_;
  std::ofstream ledger_;
  metrics::registry metrics_;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> answered_counts_;
  std::map<std::string, std::chrono::nanoseconds> max_latencies_;
  std::uint64_t bytes_ = 0;
};

}  // namespace

const char* OutcomeName(caller_outcome outcome) {
  switch (outcome) {
    case caller_outcome::kAnswered:
      return "answered";
    case caller_outcome::kNotRun:
      return "not-run";
    case caller_outcome::kUnknown:
      return "unknown";
    case caller_outcome::kBroken:
      return "broken";
    case caller_outcome::kWrong:
      break;
  }
  return "wrong";
}

load_report RunLoad(const load_settings& settings) { return load_run(settings).Run(); }

std::string FormatReport(const load_report& report) {
  bj::object outcomes;
  std::uint64_t sent = 0;
  for (const auto& [name, count] : report.outcomes) {
    outcomes[name] = count;
    sent += count;
  }
  bj::object latencies;
  for (const auto& [kind, latency] : report.latencies) {
    latencies[kind] = bj::object{{"count", latency.count},
                                 {"p50_ms", latency.p50_ms},
                                 {"p90_ms", latency.p90_ms},
                                 {"p99_ms", latency.p99_ms},
                                 {"max_ms", latency.max_ms}};
  }
  return bj::serialize(bj::object{{"seconds", report.seconds},
                                  {"sent", sent},
                                  {"rate", static_cast<double>(sent) / report.seconds},
                                  {"outcomes", std::move(outcomes)},
                                  {"latencies", std::move(latencies)},
                                  {"bytes", report.bytes}});
}

}  // namespace catkinmoor
