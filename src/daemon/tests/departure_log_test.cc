#include "daemon/departure_log.h"

#include <boost/asio/use_awaitable.hpp>

#include "framework/base/test_support.h"
#include "store/stub/memory_platform.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::departed_target;
using catkinmoor::departure_log;
using catkinmoor::memory_platform;
using catkinmoor::milliseconds;
using catkinmoor::platform_fault;

constexpr milliseconds kLimit{5'000};

/// A departure log of one process of the daemon of "vm-1". The table outlives the process.
class process {
 public:
  explicit process(memory_platform& platform) : log_(context_, platform, "vm-1") {}

  /// Whether a departure was recorded within the limit.
  bool Record(const departed_target& departure, milliseconds limit = kLimit) {
    log_.Add(departure);
    return Run(log_.AwaitRecorded(limit));
  }

  /// Records the known departures again, and waits until they are recorded.
  bool RecordAgain() {
    log_.RecordAgain();
    return Run(log_.AwaitRecorded(kLimit));
  }

  std::vector<departed_target> Read() {
    auto departures = Run(log_.Read());
    return Ok(departures) ? Value(departures) : std::vector<departed_target>{};
  }

 private:
  template <typename T>
  T Run(asio::awaitable<T> task) {
    std::optional<T> outcome;
    asio::co_spawn(context_, std::move(task),
                   [&](const std::exception_ptr&, T value) { outcome = std::move(value); });
    context_.restart();
    while (!outcome) context_.run_one();
    return std::move(*outcome);
  }

  asio::io_context context_{1};
  departure_log log_;
};

/// Fails the first `count` operations of a kind.
memory_platform::fault_function FailFirst(int count, std::string operation, platform_fault fault) {
  return [=, left = count](const std::string& present) mutable {
    return present == operation && left-- > 0 ? fault : platform_fault::kNone;
  };
}

}  // namespace

// Departures that were acknowledged were forgotten once all daemons were killed together.
Test(departure_log, of_a_killed_process_is_known_to_the_next_one) {
  memory_platform platform;
  process first(platform);
  cr_assert(first.Record({"i-1", 100}));
  cr_assert(first.Record({"i-2", 200}));
  process second(platform);
  cr_assert(second.Read() == (std::vector<departed_target>{{"i-1", 100}, {"i-2", 200}}));
}

Test(departure_log, without_any_departure_is_empty) {
  memory_platform platform;
  cr_assert(process(platform).Read().empty());
}

Test(departure_log, with_the_table_unavailable_does_not_confirm_and_records_later) {
  memory_platform platform;
  platform.SetFaultFunction([](const std::string&) { return platform_fault::kUnavailable; });
  process subject(platform);
  cr_assert(!subject.Record({"i-1", 100}, milliseconds(20)));
  platform.SetFaultFunction({});
  cr_assert(subject.Record({"i-1", 100}));
  cr_assert(process(platform).Read() == (std::vector<departed_target>{{"i-1", 100}}));
}

Test(departure_log, with_the_response_to_a_write_lost_records_the_departure_once) {
  memory_platform platform;
  platform.SetFaultFunction(FailFirst(1, "transact", platform_fault::kResponseLost));
  process subject(platform);
  cr_assert(subject.Record({"i-1", 100}));
  cr_assert(process(platform).Read() == (std::vector<departed_target>{{"i-1", 100}}));
}

Test(departure_log, with_a_row_written_since_it_was_read_keeps_what_was_written) {
  memory_platform platform;
  platform.SnapshotForStaleReads();
  cr_assert(process(platform).Record({"i-1", 100}));
  platform.SetFaultFunction(FailFirst(1, "read", platform_fault::kStaleRead));
  cr_assert(process(platform).Record({"i-2", 200}));
  cr_assert(process(platform).Read() == (std::vector<departed_target>{{"i-1", 100}, {"i-2", 200}}));
}

// The target has been acknowledged, so its departure must not be lost with the table's last writes.
Test(departure_log, after_a_restore_of_the_table_records_known_departures_again) {
  memory_platform platform;
  cr_assert(process(platform).Record({"i-1", 100}));
  process subject(platform);
  cr_assert_eq(subject.Read().size(), 1U);
  cr_assert(subject.Record({"i-2", 200}));
  platform.RestoreEmpty();
  cr_assert(process(platform).Read().empty());
  cr_assert(subject.RecordAgain());
  cr_assert(process(platform).Read() == (std::vector<departed_target>{{"i-1", 100}, {"i-2", 200}}));
}

// Each heartbeat of a target that leaves says so again.
Test(departure_log, of_a_departure_added_again_calls_the_table_once) {
  memory_platform platform;
  process subject(platform);
  for (int i = 0; i < 5; ++i) cr_assert(subject.Record({"i-1", 100}));
  cr_assert(platform.ReadCount() == 1 && platform.WriteCount() == 1);
}

Test(departure_log, with_many_departures_keeps_the_latest) {
  memory_platform platform;
  process subject(platform);
  for (int i = 1; i <= 40; ++i) {
    cr_assert(subject.Record({"i-" + std::to_string(i), static_cast<std::uint64_t>(i)}));
  }
  const auto departures = subject.Read();
  cr_assert(departures.size() >= 8 && departures.size() < 40);
  cr_assert(departures.back() == (departed_target{"i-40", 40}));
}

Test(departure_log, with_odd_entries_of_another_writer_reads_the_others) {
  memory_platform platform;
  for (const char* text : {"", "[", "{}", R"([1, {"instance": 2, "start_ms": 3}])"}) {
    std::vector<catkinmoor::row_write> writes = {{"departed/vm-1", text, std::nullopt}};
    cr_assert(Ok(catkinmoor::RunToCompletion(platform.Transact(std::move(writes)))));
    cr_assert(process(platform).Read().empty());
  }
  cr_assert(process(platform).Record({"i-1", 100}));
  cr_assert(process(platform).Read() == (std::vector<departed_target>{{"i-1", 100}}));
}
