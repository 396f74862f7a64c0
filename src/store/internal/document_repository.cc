#include "store/document_repository.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdio>

#include "framework/base/clock.h"
#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr const char* kHeadKey = "head";
constexpr const char* kAbandonedValue = "{\"abandoned\":true}";
constexpr int kMaxPutAttempts = 12;
constexpr milliseconds kInitialBackoff{5};
constexpr std::size_t kRowsPerScan = 500;

std::string Padded(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llu", static_cast<unsigned long long>(number));
  return text;
}

std::string DocumentKey(const std::string& service) { return "doc/" + service; }
std::string LogKey(std::uint64_t change) { return "log/" + Padded(change); }
std::string DecisionKey(const std::string& change_id) { return "id/" + change_id; }
std::string HistoryPrefix(const std::string& service) { return "history/" + service + "/"; }

std::string Serialize(const document_change& change) {
  return bj::serialize(bj::object{{"service", change.service},
                                  {"version", change.version},
                                  {"change", change.change},
                                  {"digest", change.digest},
                                  {"author", change.author},
                                  {"change_id", change.change_id},
                                  {"accepted_at_ms", change.accepted_at_ms}});
}

result<document_change> ParseChange(const std::string& text) {
  try {
    const bj::value parsed = bj::parse(text);
    const bj::object& row = parsed.as_object();
    return document_change{std::string(row.at("service").as_string()),
                           row.at("version").to_number<std::uint64_t>(),
                           row.at("change").to_number<std::uint64_t>(),
                           std::string(row.at("digest").as_string()),
                           std::string(row.at("author").as_string()),
                           std::string(row.at("change_id").as_string()),
                           row.at("accepted_at_ms").to_number<std::uint64_t>()};
  } catch (const std::exception& failed) {
    return error{error_kind::kRefused, "parse change row", "table", failed.what()};
  }
}

/// Parses the number of the last change, 0 if there is no row yet.
result<std::uint64_t> ParseHead(const std::optional<table_row>& row) {
  if (!row) return std::uint64_t{0};
  std::uint64_t number = 0;
  const char* end = row->value.data() + row->value.size();
  const auto parsed = std::from_chars(row->value.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end) return number;
  return error{error_kind::kRefused, "parse head row", "table", "not a number: " + row->value};
}

/// Contents and revisions of the rows that a put reads before its transaction.
struct put_view {
  std::uint64_t head_revision = 0;
  std::uint64_t last_change = 0;
  std::uint64_t document_revision = 0;
  document_change current;
};

result<put_view> MakeView(const std::optional<table_row>& head,
                          const std::optional<table_row>& row) {
  put_view view;
  const auto last_change = ParseHead(head);
  if (!Ok(last_change)) return Failure(last_change);
  view.last_change = Value(last_change);
  if (head) view.head_revision = head->revision;
  if (row) {
    auto parsed = ParseChange(row->value);
    if (!Ok(parsed)) return Failure(parsed);
    view.document_revision = row->revision;
    view.current = Value(parsed);
  }
  return view;
}

std::vector<row_write> MakeWrites(const put_view& view, const document_change& next) {
  const std::string row = Serialize(next);
  return {{kHeadKey, std::to_string(next.change), view.head_revision},
          {DocumentKey(next.service), row, view.document_revision},
          {LogKey(next.change), row, 0},
          {HistoryPrefix(next.service) + Padded(next.version), row, 0},
          {DecisionKey(next.change_id), row, 0}};
}

error ConflictError(const document_edit& edit, const document_change& current) {
  return {error_kind::kConflict, "put document", "table",
          "expected version " + std::to_string(edit.expected_version) + " but version " +
              std::to_string(current.version) + " is present"};
}

asio::awaitable<void> SleepFor(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

document_repository::document_repository(platform_client& platform) : platform_(platform) {}

asio::awaitable<result<document_change>> document_repository::Put(document_edit edit) {
  const std::string digest = Sha256Hex(edit.text);
  auto stored = co_await platform_.PutObject(digest, edit.text);
  if (!Ok(stored)) {
    // The object has no effect until a row refers to it, so the edit has certainly not been
    // accepted.
    error failure = Failure(stored);
    failure.kind = error_kind::kUnavailable;
    co_return failure;
  }
  bool may_have_applied = false;
  error last_failure{error_kind::kUnavailable, "put document", "table",
                     "the table did not respond"};
  milliseconds backoff = kInitialBackoff;
  for (int attempt = 0; attempt < kMaxPutAttempts; ++attempt) {
    if (attempt > 0) {
      co_await SleepFor(backoff);
      backoff = std::min(backoff * 2, milliseconds(320));
    }
    auto decided = co_await platform_.Read(DecisionKey(edit.change_id));
    if (!Ok(decided)) {
      last_failure = Failure(decided);
      continue;
    }
    if (const auto& row = Value(decided)) {
      if (row->value == kAbandonedValue) {
        co_return error{error_kind::kRefused, "put document", "table",
                        "the change id has been abandoned"};
      }
      co_return ParseChange(row->value);
    }
    auto head = co_await platform_.Read(kHeadKey);
    auto current = co_await platform_.Read(DocumentKey(edit.service));
    if (!Ok(head) || !Ok(current)) {
      last_failure = Ok(head) ? Failure(current) : Failure(head);
      continue;
    }
    auto view = MakeView(Value(head), Value(current));
    if (!Ok(view)) co_return Failure(view);
    const put_view& seen = Value(view);
    if (seen.current.version != edit.expected_version) {
      // An earlier attempt's write may have taken effect after the decision row was read.
      if (seen.current.change_id == edit.change_id) co_return seen.current;
      co_return ConflictError(edit, seen.current);
    }
    const document_change next{
        edit.service,   edit.expected_version + 1, seen.last_change + 1, digest, edit.author,
        edit.change_id, UnixMilliseconds()};
    auto written = co_await platform_.Transact(MakeWrites(seen, next));
    if (Ok(written)) co_return next;
    last_failure = Failure(written);
    may_have_applied = may_have_applied || last_failure.kind == error_kind::kUndecided;
  }
  last_failure.kind = may_have_applied ? error_kind::kUndecided : error_kind::kUnavailable;
  last_failure.message += "; change id " + edit.change_id;
  co_return last_failure;
}

asio::awaitable<result<change_decision>> document_repository::ResolveChange(std::string change_id) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    auto row = co_await platform_.Read(DecisionKey(change_id));
    if (!Ok(row)) co_return Failure(row);
    if (const auto& found = Value(row)) {
      if (found->value == kAbandonedValue) co_return change_decision{};
      auto parsed = ParseChange(found->value);
      if (!Ok(parsed)) co_return Failure(parsed);
      co_return change_decision{change_decision::outcome::kAccepted, Value(parsed)};
    }
    std::vector<row_write> fence_write = {{DecisionKey(change_id), kAbandonedValue, 0}};
    auto fenced = co_await platform_.Transact(std::move(fence_write));
    if (Ok(fenced)) co_return change_decision{};
    if (Failure(fenced).kind == error_kind::kUnavailable) co_return Failure(fenced);
  }
  co_return error{error_kind::kUndecided, "decide change", "table",
                  "could not be decided yet; ask again: " + change_id};
}

asio::awaitable<result<std::uint64_t>> document_repository::LastChangeNumber() {
  auto head = co_await platform_.Read(kHeadKey);
  if (!Ok(head)) co_return Failure(head);
  co_return ParseHead(Value(head));
}

asio::awaitable<result<std::vector<document_change>>> document_repository::ChangesAfter(
    std::uint64_t change) {
  row_range range{"log/", LogKey(change), kRowsPerScan};
  auto rows = co_await platform_.Scan(std::move(range));
  if (!Ok(rows)) co_return Failure(rows);
  std::vector<document_change> changes;
  for (const table_row& row : Value(rows)) {
    auto parsed = ParseChange(row.value);
    if (!Ok(parsed)) co_return Failure(parsed);
    changes.push_back(Value(parsed));
  }
  co_return changes;
}

asio::awaitable<result<std::vector<document_change>>> document_repository::CurrentVersions() {
  co_return co_await ScanChanges("doc/");
}

asio::awaitable<result<std::optional<document_change>>> document_repository::CurrentVersion(
    std::string service) {
  auto row = co_await platform_.Read(DocumentKey(service));
  if (!Ok(row)) co_return Failure(row);
  if (!Value(row)) co_return std::nullopt;
  auto parsed = ParseChange(Value(row)->value);
  if (!Ok(parsed)) co_return Failure(parsed);
  co_return Value(parsed);
}

asio::awaitable<result<std::vector<document_change>>> document_repository::History(
    std::string service) {
  co_return co_await ScanChanges(HistoryPrefix(service));
}

asio::awaitable<result<std::string>> document_repository::LoadText(std::string digest) {
  auto text = co_await platform_.GetObject(digest);
  if (!Ok(text)) co_return Failure(text);
  if (Sha256Hex(Value(text)) != digest) {
    co_return error{error_kind::kRefused, "load text", "object store",
                    "the bytes do not match digest " + digest};
  }
  co_return text;
}

asio::awaitable<result<std::vector<document_change>>> document_repository::ScanChanges(
    std::string prefix) {
  std::vector<document_change> changes;
  std::string after;
  for (;;) {
    row_range range{prefix, after, kRowsPerScan};
    auto rows = co_await platform_.Scan(std::move(range));
    if (!Ok(rows)) co_return Failure(rows);
    for (const table_row& row : Value(rows)) {
      auto parsed = ParseChange(row.value);
      if (!Ok(parsed)) co_return Failure(parsed);
      changes.push_back(Value(parsed));
    }
    if (Value(rows).size() < kRowsPerScan) co_return changes;
    after = Value(rows).back().key;
  }
}

}  // namespace catkinmoor
