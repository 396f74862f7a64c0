#include "store/http_platform_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

table_row ParseRow(const bj::value& from) {
  const bj::object& object = from.as_object();
  return {std::string(object.at("key").as_string()), std::string(object.at("value").as_string()),
          object.at("revision").to_number<std::uint64_t>()};
}

std::string SerializeTransaction(const std::vector<row_write>& writes) {
  bj::array list;
  for (const row_write& each : writes) {
    bj::object entry{{"key", each.key}, {"value", each.value}};
    if (each.expected_revision) entry["expected_revision"] = *each.expected_revision;
    list.push_back(std::move(entry));
  }
  return bj::serialize(bj::object{{"writes", std::move(list)}});
}

class http_platform_client : public platform_client {
 public:
  http_platform_client(http::client& http_client, endpoint platform, milliseconds timeout)
      : http_client_(http_client), platform_(std::move(platform)), timeout_(timeout) {}

  asio::awaitable<result<std::optional<table_row>>> Read(std::string key) override {
    auto response = co_await Send("GET", "/v1/table/row?key=" + http::PercentEncode(key));
    if (!Ok(response)) {
      if (Failure(response).kind == error_kind::kNotFound) co_return std::nullopt;
      co_return Failure(response);
    }
    bj::error_code parse_failure;
    const bj::value parsed = bj::parse(Value(response).body, parse_failure);
    if (parse_failure) co_return MalformedResponse("read row");
    try {
      co_return ParseRow(parsed);
    } catch (const std::exception&) {
      co_return MalformedResponse("read row");
    }
  }

  asio::awaitable<result<std::vector<table_row>>> Scan(row_range range) override {
    auto response =
        co_await Send("GET", "/v1/table/scan?prefix=" + http::PercentEncode(range.prefix) +
                                 "&after=" + http::PercentEncode(range.after) +
                                 "&limit=" + std::to_string(range.limit));
    if (!Ok(response)) co_return Failure(response);
    try {
      std::vector<table_row> rows;
      const bj::value parsed = bj::parse(Value(response).body);
      for (const bj::value& each : parsed.at("rows").as_array()) rows.push_back(ParseRow(each));
      co_return rows;
    } catch (const std::exception&) {
      co_return MalformedResponse("scan rows");
    }
  }

  asio::awaitable<result<done>> Transact(std::vector<row_write> writes) override {
    co_return DiscardBody(
        co_await Send("POST", "/v1/table/transact", SerializeTransaction(writes)));
  }

  asio::awaitable<result<done>> PutObject(std::string name, std::string bytes) override {
    co_return DiscardBody(co_await Send("PUT", "/v1/objects/" + name, std::move(bytes)));
  }

  asio::awaitable<result<std::string>> GetObject(std::string name) override {
    auto response = co_await Send("GET", "/v1/objects/" + name);
    if (!Ok(response)) co_return Failure(response);
    co_return std::move(Value(response).body);
  }

 private:
  error MalformedResponse(const std::string& step) const {
    return {error_kind::kUnavailable, step, ToString(platform_), "the response is malformed"};
  }

  static result<done> DiscardBody(result<http::response> response) {
    if (!Ok(response)) return Failure(response);
    return done{};
  }

  asio::awaitable<result<http::response>> Send(std::string method, std::string target,
                                               std::string body = "") {
    http::request request{std::move(method), std::move(target), {}, std::move(body)};
    const bool is_write = request.method != "GET";
    const std::string step = request.method + " " + std::string(request.Path());
    auto response = co_await http_client_.Send(platform_, std::move(request), timeout_);
    if (!Ok(response)) {
      error failure = Failure(response);
      // A write that timed out may already have taken effect.
      if (is_write && failure.kind == error_kind::kTimeout) failure.kind = error_kind::kUndecided;
      co_return failure;
    }
    const unsigned status = Value(response).status;
    if (status == 200) co_return response;
    const std::string peer = ToString(platform_);
    if (status == 404) co_return error{error_kind::kNotFound, step, peer, "no such row or object"};
    if (status == 409) co_return error{error_kind::kConflict, step, peer, "revision mismatch"};
    co_return error{error_kind::kUnavailable, step, peer,
                    "unexpected HTTP status " + std::to_string(status)};
  }

  http::client& http_client_;
  endpoint platform_;
  milliseconds timeout_;
};

}  // namespace

std::unique_ptr<platform_client> MakeHttpPlatformClient(http::client& http_client,
                                                        endpoint platform, milliseconds timeout) {
  return std::make_unique<http_platform_client>(http_client, std::move(platform), timeout);
}

}  // namespace catkinmoor
