#include "distribution/source_freshness.h"

#include "distribution/tests/in_process_fleet.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::distribution_settings;
using catkinmoor::document_edit;
using catkinmoor::member_record;
using catkinmoor::milliseconds;
using catkinmoor::Now;
using catkinmoor::Readers;
using catkinmoor::source_freshness;
using catkinmoor::time_point;
using catkinmoor::distribution_tests::in_process_peers;
using catkinmoor::distribution_tests::node;

constexpr int kRegions = 3;
constexpr int kDataCentresPerRegion = 3;
constexpr int kReadersPerRegion = 2;
constexpr int kFleetSizes[] = {2, 18, 96};
constexpr const char* kService = "slotboard";

member_record RecordOf(int index) {
  member_record record = catkinmoor::distribution_tests::RecordOf(
      "vm-" + std::to_string(index), static_cast<std::uint16_t>(index + 1));
  record.region = "r" + std::to_string(index % kRegions);
  record.data_centre =
      record.region + "-" + std::to_string(index / kRegions % kDataCentresPerRegion);
  return record;
}

std::string DocumentText(std::uint64_t version) {
  return R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [{"name": "a",
             "match": {"prefix": "/"}, "class": "browse", "repeatable": true, "deadline_ms": )" +
         std::to_string(1'000 + version) + "}]}";
}

/// Daemons that read the source and spread what they read, all on one thread. The source is
/// reachable for every daemon, whichever are isolated from each other.
class reading_fleet {
  asio::io_context context_;
  catkinmoor::memory_platform platform_;
  distribution_settings settings_;
  std::set<std::string> lost_;
  std::uint64_t version_ = 0;

 public:
  explicit reading_fleet(int size) {
    settings_.source_poll_interval = milliseconds(100);
    settings_.max_source_age = milliseconds(1'000);
    peers.max_spread_messages = INT_MAX;
    for (int i = 0; i < size; ++i) Add();
  }

  ~reading_fleet() {
    for (node& each : nodes) each.source.Stop();
    context_.run();
  }
  reading_fleet(const reading_fleet&) = delete;
  reading_fleet& operator=(const reading_fleet&) = delete;

  /// Adds a daemon that all others know.
  node& Add() {
    const member_record record = RecordOf(static_cast<int>(nodes.size()));
    node& added = nodes.emplace_back(context_, platform_, peers, record, settings_);
    for (node& each : nodes) {
      each.members.Merge(record);
      added.members.Merge(each.self.Get());
    }
    asio::co_spawn(context_, added.source.Run(), asio::detached);
    return added;
  }

  void Isolate(const node& subject) { peers.isolated.insert(subject.self.Get().vm); }

  /// Ends a daemon, which the others still take to be alive.
  void Lose(node& subject) {
    Isolate(subject);
    lost_.insert(subject.self.Get().vm);
    subject.source.Stop();
  }

  void IsolateReaders(const std::string& region) {
    for (const auto& each : Readers(*nodes[0].members.View(), region, kReadersPerRegion)) {
      peers.isolated.insert(each->vm);
    }
  }

  /// Accepts a version and runs the fleet until every daemon that is not lost holds it.
  void ChangeAndAwait() {
    const std::uint64_t version = ++version_;
    document_edit edit{kService, version - 1, DocumentText(version), "a", std::to_string(version)};
    asio::co_spawn(context_, nodes[0].repository.Put(std::move(edit)), asio::detached);
    const auto holds = [&](const node& each) {
      if (lost_.contains(each.self.Get().vm)) return true;
      const auto held = each.documents.Held(kService);
      return held != nullptr && held->source.version >= version;
    };
    while (!std::all_of(nodes.begin(), nodes.end(), holds)) context_.run_one();
  }

  in_process_peers peers;
  std::deque<node> nodes;
};

}  // namespace

Test(source_freshness, without_a_recent_confirmation_is_stale_from_the_maximum_age_on) {
  source_freshness subject(milliseconds(1'000));
  const time_point start = Now();
  cr_assert(subject.IsStale(start));
  subject.OnConfirmed(start);
  subject.OnConfirmed(start - milliseconds(500));
  cr_assert_not(subject.IsStale(start + milliseconds(999)));
  cr_assert(subject.IsStale(start + milliseconds(1'000)));
  cr_assert(subject.StaleAt() == start + milliseconds(1'000));
}

// A reader that only hears itself must go on reading.
Test(source_freshness, with_its_own_confirmations_only_stays_stale) {
  source_freshness subject(milliseconds(1'000));
  const time_point start = Now();
  subject.OnConfirmationSent(start);
  cr_assert(subject.IsStale(start));
  cr_assert_not(subject.ShouldConfirm(start + milliseconds(499)));
  cr_assert(subject.ShouldConfirm(start + milliseconds(500)));
}

Test(source_freshness, without_a_maximum_age_is_never_stale) {
  const source_freshness subject(milliseconds(0));
  cr_assert_not(subject.IsStale(Now()));
  cr_assert_not(subject.ShouldConfirm(Now()));
}

// Guards against CONFIG of issue 26: a daemon that reaches the source but no other daemon took no
// new version until the others came back.
Test(source_reading, with_daemons_cut_from_all_others_takes_changes, .timeout = 60) {
  for (const int size : kFleetSizes) {
    reading_fleet subject(size);
    subject.ChangeAndAwait();
    for (int i = 0; i < size; i += 4) subject.Isolate(subject.nodes[i]);
    subject.ChangeAndAwait();
    subject.ChangeAndAwait();
  }
}

// The readers of a region are cut from its other daemons, which must not wait for them.
Test(source_reading, with_the_readers_of_a_region_cut_off_takes_changes, .timeout = 60) {
  for (const int size : kFleetSizes) {
    reading_fleet subject(size);
    subject.ChangeAndAwait();
    subject.IsolateReaders("r0");
    subject.ChangeAndAwait();
  }
}

Test(source_reading, with_daemons_lost_and_joining_during_a_cut_takes_changes, .timeout = 60) {
  for (const int size : kFleetSizes) {
    reading_fleet subject(size);
    subject.ChangeAndAwait();
    subject.IsolateReaders("r1");
    subject.Lose(subject.nodes[0]);
    subject.Isolate(subject.Add());
    subject.Add();
    subject.ChangeAndAwait();
  }
}
