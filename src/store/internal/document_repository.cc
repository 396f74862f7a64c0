#include "store/document_repository.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "framework/base/clock.h"
#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr const char* kHeadKey = "head";
constexpr const char* kAbandoned = "{\"abandoned\":true}";
constexpr int kPutTries = 12;
constexpr milliseconds kFirstPause{5};
constexpr std::size_t kScanRows = 500;

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

/// The rows that a put reads before it writes.
struct put_view {
  std::uint64_t head_revision = 0;
  std::uint64_t last_change = 0;
  std::uint64_t document_revision = 0;
  document_change present;
};

result<put_view> MakeView(const std::optional<table_row>& head,
                          const std::optional<table_row>& row) {
  put_view view;
  if (head) {
    view.head_revision = head->revision;
    view.last_change = std::strtoull(head->value.c_str(), nullptr, 10);
  }
  if (row) {
    auto parsed = ParseChange(row->value);
    if (!Ok(parsed)) return Failure(parsed);
    view.document_revision = row->revision;
    view.present = Value(parsed);
  }
  return view;
}

std::vector<row_write> WritesFor(const put_view& view, const document_change& next) {
  const std::string row = Serialize(next);
  return {{kHeadKey, std::to_string(next.change), view.head_revision},
          {DocumentKey(next.service), row, view.document_revision},
          {LogKey(next.change), row, 0},
          {HistoryPrefix(next.service) + Padded(next.version), row, 0},
          {DecisionKey(next.change_id), row, 0}};
}

error ConflictError(const document_edit& edit, const document_change& present) {
  return {error_kind::kConflict, "put document", "table",
          "expected version " + std::to_string(edit.expected_version) + " but version " +
              std::to_string(present.version) + " is present"};
}

asio::awaitable<void> Pause(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

document_repository::document_repository(platform_client& platform) : platform_(platform) {}

asio::awaitable<result<document_change>> document_repository::Put(document_edit edit) {
  const std::string digest = Sha256Hex(edit.text);
  auto stored = co_await platform_.PutObject(digest, edit.text);
  if (!Ok(stored)) {
    // Without a row that names it the object has no effect, so nothing is left open.
    error failure = Failure(stored);
    failure.kind = error_kind::kUnavailable;
    co_return failure;
  }
  bool sent = false;
  error last{error_kind::kUnavailable, "put document", "table", "the table did not answer"};
  milliseconds pause = kFirstPause;
  for (int tries = 0; tries < kPutTries; ++tries) {
    if (tries > 0) {
      co_await Pause(pause);
      pause = std::min(pause * 2, milliseconds(320));
    }
    auto decided = co_await platform_.Read(DecisionKey(edit.change_id));
    if (!Ok(decided)) {
      last = Failure(decided);
      continue;
    }
    if (const auto& row = Value(decided)) {
      if (row->value == kAbandoned) {
        co_return error{error_kind::kRefused, "put document", "table",
                        "the change id was given up"};
      }
      co_return ParseChange(row->value);
    }
    auto head = co_await platform_.Read(kHeadKey);
    auto present = co_await platform_.Read(DocumentKey(edit.service));
    if (!Ok(head) || !Ok(present)) {
      last = Ok(head) ? Failure(present) : Failure(head);
      continue;
    }
    auto view = MakeView(Value(head), Value(present));
    if (!Ok(view)) co_return Failure(view);
    const put_view& seen = Value(view);
    if (seen.present.version != edit.expected_version) {
      // The write of an earlier try may have raised the version between the two reads.
      if (seen.present.change_id == edit.change_id) co_return seen.present;
      co_return ConflictError(edit, seen.present);
    }
    const document_change next{
        edit.service,   edit.expected_version + 1, seen.last_change + 1, digest, edit.author,
        edit.change_id, WallMilliseconds()};
    auto written = co_await platform_.Transact(WritesFor(seen, next));
    if (Ok(written)) co_return next;
    last = Failure(written);
    sent = sent || last.kind == error_kind::kUndecided;
  }
  last.kind = sent ? error_kind::kUndecided : error_kind::kUnavailable;
  last.message += "; change id " + edit.change_id;
  co_return last;
}

asio::awaitable<result<change_decision>> document_repository::Decide(std::string change_id) {
  for (int tries = 0; tries < 3; ++tries) {
    auto row = co_await platform_.Read(DecisionKey(change_id));
    if (!Ok(row)) co_return Failure(row);
    if (const auto& found = Value(row)) {
      if (found->value == kAbandoned) co_return change_decision{};
      auto parsed = ParseChange(found->value);
      if (!Ok(parsed)) co_return Failure(parsed);
      co_return change_decision{change_decision::outcome::kAccepted, Value(parsed)};
    }
    std::vector<row_write> fence = {{DecisionKey(change_id), kAbandoned, 0}};
    auto fenced = co_await platform_.Transact(std::move(fence));
    if (Ok(fenced)) co_return change_decision{};
    if (Failure(fenced).kind == error_kind::kUnavailable) co_return Failure(fenced);
  }
  co_return error{error_kind::kUndecided, "decide change", "table", "ask again: " + change_id};
}

asio::awaitable<result<std::uint64_t>> document_repository::LastChange() {
  auto head = co_await platform_.Read(kHeadKey);
  if (!Ok(head)) co_return Failure(head);
  const auto& row = Value(head);
  co_return row ? std::strtoull(row->value.c_str(), nullptr, 10) : 0ULL;
}

asio::awaitable<result<std::vector<document_change>>> document_repository::ChangesAfter(
    std::uint64_t change) {
  row_range range{"log/", LogKey(change), kScanRows};
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

asio::awaitable<result<std::vector<document_change>>> document_repository::Current() {
  co_return co_await ScanAll("doc/");
}

asio::awaitable<result<std::optional<document_change>>> document_repository::CurrentOf(
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
  co_return co_await ScanAll(HistoryPrefix(service));
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

asio::awaitable<result<std::vector<document_change>>> document_repository::ScanAll(
    std::string prefix) {
  std::vector<document_change> changes;
  std::string after;
  for (;;) {
    row_range range{prefix, after, kScanRows};
    auto rows = co_await platform_.Scan(std::move(range));
    if (!Ok(rows)) co_return Failure(rows);
    for (const table_row& row : Value(rows)) {
      auto parsed = ParseChange(row.value);
      if (!Ok(parsed)) co_return Failure(parsed);
      changes.push_back(Value(parsed));
    }
    if (Value(rows).size() < kScanRows) co_return changes;
    after = Value(rows).back().key;
  }
}

}  // namespace catkinmoor
