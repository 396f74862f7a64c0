#include "daemon/departure_log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr const char* kKeyPrefix = "departed/";
/// Departures kept in the row, far more than can occur while a report is delayed in transit.
constexpr std::size_t kMaxDepartures = 16;
constexpr milliseconds kInitialRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{5'000};

std::optional<departed_target> ParseDeparture(const bj::value& entry) {
  const bj::object* object = entry.if_object();
  if (object == nullptr) return std::nullopt;
  const bj::value* instance = object->if_contains("instance");
  const bj::value* start = object->if_contains("start_ms");
  if (instance == nullptr || !instance->is_string() || start == nullptr) return std::nullopt;
  bj::error_code parse_error;
  const auto start_ms = start->to_number<std::uint64_t>(parse_error);
  if (parse_error) return std::nullopt;
  return departed_target{std::string(instance->as_string()), start_ms};
}

std::vector<departed_target> ParseDepartures(const std::string& value) {
  std::vector<departed_target> departures;
  bj::error_code parse_error;
  const bj::value parsed = bj::parse(value, parse_error);
  const bj::array* entries = parse_error ? nullptr : parsed.if_array();
  if (entries == nullptr) return departures;
  for (const bj::value& each : *entries) {
    if (auto departure = ParseDeparture(each)) departures.push_back(std::move(*departure));
  }
  return departures;
}

std::string SerializeDepartures(const std::vector<departed_target>& departures) {
  bj::array entries;
  for (const departed_target& each : departures) {
    entries.push_back(bj::object{{"instance", each.instance}, {"start_ms", each.start_ms}});
  }
  return bj::serialize(entries);
}

bool Contains(const std::vector<departed_target>& departures, const departed_target& sought) {
  return std::find(departures.begin(), departures.end(), sought) != departures.end();
}

void KeepLatest(std::vector<departed_target>& departures) {
  if (departures.size() <= kMaxDepartures) return;
  departures.erase(departures.begin(), departures.end() - kMaxDepartures);
}

}  // namespace

departure_log::departure_log(asio::io_context& context, platform_client& platform, std::string vm)
    : context_(context),
      platform_(platform),
      key_(kKeyPrefix + std::move(vm)),
      retry_timer_(context),
      recorded_event_(context) {}

void departure_log::Add(const departed_target& departure) {
  if (Contains(unrecorded_, departure) || Contains(recorded_, departure)) return;
  unrecorded_.push_back(departure);
  if (recording_) return;
  recording_ = true;
  asio::co_spawn(context_, RecordUntilDone(), asio::detached);
}

asio::awaitable<bool> departure_log::AwaitRecorded(milliseconds limit) {
  const time_point end = Now() + limit;
  while (!unrecorded_.empty() && !stopping_ && Now() < end) {
    recorded_event_.expires_at(end);
    co_await recorded_event_.async_wait(kAwait);
  }
  co_return unrecorded_.empty();
}

asio::awaitable<result<std::vector<departed_target>>> departure_log::Read() {
  auto row = co_await platform_.Read(key_);
  if (!Ok(row)) co_return Failure(row);
  std::vector<departed_target> departures;
  if (Value(row)) departures = ParseDepartures(Value(row)->value);
  for (const departed_target& each : departures) {
    if (!Contains(recorded_, each)) recorded_.push_back(each);
  }
  KeepLatest(recorded_);
  co_return departures;
}

asio::awaitable<result<done>> departure_log::Record(std::vector<departed_target> departures) {
  auto row = co_await platform_.Read(key_);
  if (!Ok(row)) co_return Failure(row);
  std::uint64_t revision = 0;
  std::vector<departed_target> recorded;
  if (Value(row)) {
    revision = Value(row)->revision;
    recorded = ParseDepartures(Value(row)->value);
  }
  const std::size_t known = recorded.size();
  for (const departed_target& each : departures) {
    if (!Contains(recorded, each)) recorded.push_back(each);
  }
  if (recorded.size() == known) co_return done{};
  KeepLatest(recorded);
  // A write whose response was lost may take effect seconds later. The revision keeps it from
  // replacing a row that has been written since.
  std::vector<row_write> writes = {{key_, SerializeDepartures(recorded), revision}};
  co_return co_await platform_.Transact(std::move(writes));
}

asio::awaitable<void> departure_log::RecordUntilDone() {
  const time_point begin = Now();
  milliseconds delay = kInitialRetryDelay;
  while (!unrecorded_.empty() && !stopping_) {
    const std::vector<departed_target> departures = unrecorded_;
    const auto written = co_await Record(departures);
    if (Ok(written)) {
      std::erase_if(unrecorded_,
                    [&](const departed_target& each) { return Contains(departures, each); });
      recorded_.insert(recorded_.end(), departures.begin(), departures.end());
      KeepLatest(recorded_);
      delay = kInitialRetryDelay;
      const auto took = std::chrono::duration_cast<milliseconds>(Now() - begin);
      logging::Info("target departure recorded in the platform's table",
                    {{"instance", departures.back().instance},
                     {"waited_ms", static_cast<std::int64_t>(took.count())}});
      if (unrecorded_.empty()) recorded_event_.cancel();
      continue;
    }
    logging::Warning("target departure not recorded in the platform's table yet; retrying",
                     Failure(written));
    retry_timer_.expires_after(delay);
    co_await retry_timer_.async_wait(kAwait);
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
  recording_ = false;
}

std::size_t departure_log::RecordAgain() {
  const std::vector<departed_target> departures = std::move(recorded_);
  recorded_.clear();
  for (const departed_target& each : departures) Add(each);
  return departures.size();
}

void departure_log::Stop() {
  stopping_ = true;
  retry_timer_.cancel();
  recorded_event_.cancel();
}

}  // namespace catkinmoor
