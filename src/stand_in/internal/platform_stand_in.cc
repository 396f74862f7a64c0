#include "stand_in/platform_stand_in.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "framework/json/field_table.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;
using json::field;

/// The faults as read from and written to JSON.
struct faults_json {
  bool down = false;
  bool stale = false;
  milliseconds delay{0};
  double lost_response_ratio = 0;
  double failure_ratio = 0;
  std::int64_t seed = 1;
};

using fj = faults_json;
const std::array<field<fj>, 6> kFields = {{
    {"down", &fj::down, "Whether every operation fails."},
    {"stale", &fj::stale, "Whether reads return the state at the time this was set."},
    {"delay_ms", &fj::delay, "Delay of every operation.", false, 0, 600'000},
    {"lost_answers", &fj::lost_response_ratio, "Share of writes whose response is lost.", false, 0,
     1},
    {"refused", &fj::failure_ratio, "Share of operations that fail.", false, 0, 1},
    {"seed", &fj::seed, "Seed of the random choice of faults."},
}};

http::response JsonResponse(unsigned status, const bj::object& body) {
  return {status, {{"content-type", "application/json"}}, bj::serialize(body) + "\n"};
}

bj::object RowToJson(const table_row& row) {
  return {{"key", row.key}, {"value", row.value}, {"revision", row.revision}};
}

std::vector<row_write> ParseWrites(const std::string& text) {
  std::vector<row_write> writes;
  const bj::value parsed = bj::parse(text);
  for (const bj::value& each : parsed.at("writes").as_array()) {
    const bj::object& row = each.as_object();
    row_write write{std::string(row.at("key").as_string()),
                    std::string(row.at("value").as_string()), std::nullopt};
    if (const bj::value* expected = row.if_contains("expected_revision")) {
      write.expected_revision = expected->to_number<std::uint64_t>();
    }
    writes.push_back(std::move(write));
  }
  return writes;
}

http::response ErrorResponse(const error& failure) {
  unsigned status = 503;
  if (failure.kind == error_kind::kConflict) status = 409;
  if (failure.kind == error_kind::kNotFound) status = 404;
  return JsonResponse(status, {{"error", failure.message}});
}

}  // namespace

platform_stand_in::platform_stand_in(asio::io_context& context) : context_(context) {
  store_.SetFaultFunction([this](const std::string& operation) { return DrawFault(operation); });
}

platform_fault platform_stand_in::DrawFault(const std::string& operation) {
  if (faults_.down) return platform_fault::kUnavailable;
  std::uniform_real_distribution<double> uniform(0, 1);
  const bool write = operation == "transact" || operation == "put object";
  if (faults_.failure_ratio > 0 && uniform(random_) < faults_.failure_ratio)
    return platform_fault::kUnavailable;
  if (write && faults_.lost_response_ratio > 0 && uniform(random_) < faults_.lost_response_ratio) {
    return platform_fault::kResponseLost;
  }
  if (!write && faults_.stale) return platform_fault::kStaleRead;
  return platform_fault::kNone;
}

asio::awaitable<http::response> platform_stand_in::HandleRequest(http::request message) {
  if (message.Path().substr(0, 9) == "/control/") co_return HandleControlRequest(message);
  if (faults_.delay.count() > 0) {
    asio::steady_timer timer(context_, faults_.delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return co_await Serve(message);
}

asio::awaitable<http::response> platform_stand_in::Serve(const http::request& message) {
  const std::string path(message.Path());
  constexpr std::string_view kObjects = "/v1/objects/";
  if (path == "/v1/table/row" && message.method == "GET") {
    auto row = co_await store_.Read(message.QueryParameter("key").value_or(""));
    if (!Ok(row)) co_return ErrorResponse(Failure(row));
    if (!Value(row)) co_return JsonResponse(404, {{"error", "no such row"}});
    co_return JsonResponse(200, RowToJson(*Value(row)));
  }
  if (path == "/v1/table/scan" && message.method == "GET") {
    row_range range{message.QueryParameter("prefix").value_or(""),
                    message.QueryParameter("after").value_or(""),
                    std::stoul(message.QueryParameter("limit").value_or("500"))};
    auto rows = co_await store_.Scan(std::move(range));
    if (!Ok(rows)) co_return ErrorResponse(Failure(rows));
    bj::array row_objects;
    for (const table_row& each : Value(rows)) row_objects.push_back(RowToJson(each));
    co_return JsonResponse(200, {{"rows", std::move(row_objects)}});
  }
  if (path == "/v1/table/transact" && message.method == "POST") {
    auto written = co_await store_.Transact(ParseWrites(message.body));
    if (!Ok(written)) co_return ErrorResponse(Failure(written));
    co_return JsonResponse(200, {{"done", true}});
  }
  if (path.substr(0, kObjects.size()) == kObjects) {
    const std::string name = path.substr(kObjects.size());
    if (message.method == "PUT") {
      auto written = co_await store_.PutObject(name, message.body);
      if (!Ok(written)) co_return ErrorResponse(Failure(written));
      co_return JsonResponse(200, {{"done", true}});
    }
    auto bytes = co_await store_.GetObject(name);
    if (!Ok(bytes)) co_return ErrorResponse(Failure(bytes));
    co_return http::response{200, {}, Value(bytes)};
  }
  co_return JsonResponse(404, {{"error", "no such operation"}});
}

http::response platform_stand_in::HandleControlRequest(const http::request& message) {
  if (message.Path() == "/control/stats") {
    return JsonResponse(200, {{"reads", store_.ReadCount()}, {"writes", store_.WriteCount()}});
  }
  if (message.Path() == "/control/object") {
    store_.CorruptObject(message.QueryParameter("name").value_or(""), message.body);
    return JsonResponse(200, {{"done", true}});
  }
  auto parsed = json::ParseWithComments(message.body);
  json::problems problems;
  fj requested;
  if (auto* failed = std::get_if<json::problems>(&parsed)) {
    problems = *failed;
  } else {
    json::ReadObject<fj>(std::get<bj::value>(parsed), "", kFields, requested, problems);
  }
  if (!problems.empty()) return JsonResponse(422, {{"error", json::FormatProblems(problems)}});
  if (requested.stale && !faults_.stale) store_.SnapshotForStaleReads();
  faults_ = {requested.down,          requested.stale,
             requested.delay,         requested.lost_response_ratio,
             requested.failure_ratio, static_cast<std::uint64_t>(requested.seed)};
  random_.seed(faults_.seed);
  return JsonResponse(200, json::WriteObject<fj>(requested, kFields));
}

}  // namespace catkinmoor
