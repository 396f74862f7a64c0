#include "store/http_platform_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

table_row RowOf(const bj::value& from) {
  const bj::object& object = from.as_object();
  return {std::string(object.at("key").as_string()), std::string(object.at("value").as_string()),
          object.at("revision").to_number<std::uint64_t>()};
}

std::string TransactionText(const std::vector<row_write>& writes) {
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
  http_platform_client(http::client& sender, endpoint platform, milliseconds timeout)
      : sender_(sender), platform_(std::move(platform)), timeout_(timeout) {}

  asio::awaitable<result<std::optional<table_row>>> Read(std::string key) override {
    auto outcome = co_await Send("GET", "/v1/table/row?key=" + http::EncodeQuery(key));
    if (!Ok(outcome)) {
      if (Failure(outcome).kind == error_kind::kNotFound) co_return std::nullopt;
      co_return Failure(outcome);
    }
    bj::error_code failed;
    const bj::value parsed = bj::parse(Value(outcome).body, failed);
    if (failed) co_return Malformed("read row");
    try {
      co_return RowOf(parsed);
    } catch (const std::exception&) {
      co_return Malformed("read row");
    }
  }

  asio::awaitable<result<std::vector<table_row>>> Scan(row_range range) override {
    auto outcome = co_await Send("GET", "/v1/table/scan?prefix=" + http::EncodeQuery(range.prefix) +
                                            "&after=" + http::EncodeQuery(range.after) +
                                            "&limit=" + std::to_string(range.limit));
    if (!Ok(outcome)) co_return Failure(outcome);
    try {
      std::vector<table_row> rows;
      const bj::value parsed = bj::parse(Value(outcome).body);
      for (const bj::value& each : parsed.at("rows").as_array()) rows.push_back(RowOf(each));
      co_return rows;
    } catch (const std::exception&) {
      co_return Malformed("scan rows");
    }
  }

  asio::awaitable<result<done>> Transact(std::vector<row_write> writes) override {
    co_return Done(co_await Send("POST", "/v1/table/transact", TransactionText(writes)));
  }

  asio::awaitable<result<done>> PutObject(std::string name, std::string bytes) override {
    co_return Done(co_await Send("PUT", "/v1/objects/" + name, std::move(bytes)));
  }

  asio::awaitable<result<std::string>> GetObject(std::string name) override {
    auto outcome = co_await Send("GET", "/v1/objects/" + name);
    if (!Ok(outcome)) co_return Failure(outcome);
    co_return std::move(Value(outcome).body);
  }

 private:
  error Malformed(const std::string& step) const {
    return {error_kind::kUnavailable, step, ToString(platform_), "the answer is malformed"};
  }

  static result<done> Done(result<http::reply> outcome) {
    if (!Ok(outcome)) return Failure(outcome);
    return done{};
  }

  asio::awaitable<result<http::reply>> Send(std::string method, std::string target,
                                            std::string body = "") {
    http::request message{std::move(method), std::move(target), {}, std::move(body)};
    const bool write = message.method != "GET";
    const std::string step = message.method + " " + std::string(message.Path());
    auto outcome = co_await sender_.Send(platform_, std::move(message), timeout_);
    if (!Ok(outcome)) {
      error failure = Failure(outcome);
      // A write that timed out may have been sent already.
      if (write && failure.kind == error_kind::kTimeout) failure.kind = error_kind::kUndecided;
      co_return failure;
    }
    const unsigned status = Value(outcome).status;
    if (status == 200) co_return outcome;
    const std::string peer = ToString(platform_);
    if (status == 404) co_return error{error_kind::kNotFound, step, peer, "no such row or object"};
    if (status == 409) co_return error{error_kind::kConflict, step, peer, "a row was changed"};
    co_return error{error_kind::kUnavailable, step, peer, "status " + std::to_string(status)};
  }

  http::client& sender_;
  endpoint platform_;
  milliseconds timeout_;
};

}  // namespace

std::unique_ptr<platform_client> MakeHttpPlatformClient(http::client& sender, endpoint platform,
                                                        milliseconds timeout) {
  return std::make_unique<http_platform_client>(sender, std::move(platform), timeout);
}

}  // namespace catkinmoor
