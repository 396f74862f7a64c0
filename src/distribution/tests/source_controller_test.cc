// What a daemon knows after it has read an entry of the source that it cannot take over. Guards
// against an accepted version that is lost while the daemon counts as up to date (config-42).

#include "distribution/source_controller.h"

#include "distribution/tests/in_process_fleet.h"
#include "framework/base/digest.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::BootNow;
using catkinmoor::distribution_settings;
using catkinmoor::document_source;
using catkinmoor::document_version;
using catkinmoor::error_kind;
using catkinmoor::Failure;
using catkinmoor::milliseconds;
using catkinmoor::Ok;
using catkinmoor::result;
using catkinmoor::rollout_order;
using catkinmoor::Sha256Hex;
using catkinmoor::source_controller;
using catkinmoor::source_update;
using catkinmoor::spread_range;
using catkinmoor::distribution_tests::in_process_peers;
using catkinmoor::distribution_tests::node;
using catkinmoor::distribution_tests::RecordOf;

constexpr const char* kService = "mesh";
constexpr const char* kOrderEntry = "rollout/shop";

document_version Version(std::uint64_t version, bool readable = true) {
  const std::string text = readable ? R"({"schema": 1, "service": "mesh", "owner": "operator",
                                     "routes": [], "workspaces": [{"name": ")" +
                                          std::to_string(version) + R"("}]})"
                                    : R"({"schema": 2})";
  return {kService, version, version, Sha256Hex(text), text};
}

/// A source that holds one version and one order, each written at a position. A read of a position
/// returns what was written behind it; a read without a wait returns all.
class single_row_source : public document_source {
 public:
  asio::awaitable<result<source_update>> FetchUpdate(std::uint64_t position,
                                                     milliseconds wait) override {
    ++reads;
    last_wait = wait;
    const bool reads_all = wait.count() == 0;
    source_update update{std::max(document_position, order_position), {}};
    if (document_position > 0 && (reads_all || document_position > position)) {
      update.documents.push_back(document);
      // Bytes that were damaged on their way arrive whole the next time.
      if (damaged_reads > 0) {
        --damaged_reads;
        update.documents.back().text.clear();
      }
    }
    if (order_position > 0 && (reads_all || order_position > position)) {
      if (order_readable) update.orders.push_back({"shop", 1, "v2", milliseconds(1'000)});
      if (!order_readable) update.unusable.push_back({kOrderEntry, false, "malformed"});
    }
    co_return update;
  }
  bool SupportsLongPolling() const override { return false; }

  document_version document;
  std::uint64_t document_position = 0;
  std::uint64_t order_position = 0;
  bool order_readable = true;
  int damaged_reads = 0;
  int reads = 0;
  milliseconds last_wait{0};
};

distribution_settings FastReads(milliseconds long_poll_wait) {
  distribution_settings settings;
  settings.source_poll_interval = milliseconds(10);
  settings.source_long_poll_wait = long_poll_wait;
  settings.max_source_age = milliseconds(1'000);
  settings.key_revocation_bound = milliseconds(1'000);
  return settings;
}

/// A reader of the source and a daemon that relies on it.
struct reading_pair {
  explicit reading_pair(milliseconds long_poll_wait = milliseconds(10))
      : settings(FastReads(long_poll_wait)) {
    for (node* each : {&reader, &other}) {
      for (const node* known : {&reader, &other}) each->members.Merge(known->self.Get());
    }
  }
  ~reading_pair() {
    controller.Stop();
    context.restart();
    context.run();
  }
  reading_pair(const reading_pair&) = delete;
  reading_pair& operator=(const reading_pair&) = delete;

  void Start() {
    // Unlike the other daemon, this one reads the source, as it is among the first two by name.
    asio::co_spawn(context, controller.Run(), asio::detached);
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    context.restart();
    while (!condition()) context.run_one();
  }

  void RunReads(int count) {
    const int end = source.reads + count;
    RunUntil([&] { return source.reads >= end; });
  }

  result<std::uint64_t> CatchUp() {
    result<std::uint64_t> outcome;
    bool done = false;
    asio::co_spawn(context, controller.CatchUp(),
                   [&](const std::exception_ptr&, result<std::uint64_t> value) {
                     outcome = std::move(value);
                     done = true;
                   });
    RunUntil([&] { return done; });
    return outcome;
  }

  std::uint64_t HeldVersion(const node& subject) const {
    const auto held = subject.documents.Held(kService);
    return held == nullptr ? 0 : held->source.version;
  }

  bool IsProved() const { return reader.key_proofs.ProvedAt().has_value(); }
  bool IsOtherConfirmed() const { return !other.freshness.IsStale(catkinmoor::Now()); }

  std::uint64_t Refusals() const {
    return reader.metrics.CounterValue("catkinmoor_source_refusals_total", {});
  }

  asio::io_context context;
  catkinmoor::memory_platform platform;
  in_process_peers peers;
  distribution_settings settings;
  node reader{context, platform, peers, RecordOf("vm-1", 1), settings};
  node other{context, platform, peers, RecordOf("vm-2", 2), settings};
  single_row_source source;
  source_controller controller{context,          reader.deps, source, reader.exchange,
                               *reader.strategy, settings,    1};
};

}  // namespace

Test(source_controller, with_a_refused_version_neither_proves_nor_confirms_documents,
     .timeout = 60) {
  reading_pair subject;
  subject.source.document = Version(8, false);
  subject.source.document_position = 5;
  const auto caught_up = subject.CatchUp();
  cr_assert(!Ok(caught_up) && Failure(caught_up).kind == error_kind::kRefused);
  subject.Start();
  subject.RunReads(20);
  cr_assert_not(subject.IsProved());
  cr_assert_not(subject.IsOtherConfirmed());
  cr_assert_gt(subject.Refusals(), 0U);
  cr_assert_eq(subject.reader.documents.Refusals().size(), 1U);
}

Test(source_controller, with_a_newer_version_after_a_refused_one_is_current_again, .timeout = 60) {
  reading_pair subject;
  subject.source.document = Version(7);
  subject.source.document_position = 4;
  cr_assert(Ok(subject.CatchUp()));
  subject.Start();
  subject.RunUntil([&] { return subject.IsProved() && subject.HeldVersion(subject.other) == 7; });
  subject.source.document = Version(8, false);
  subject.source.document_position = 5;
  subject.RunUntil([&] { return subject.Refusals() > 0; });
  const auto proved_at = subject.reader.key_proofs.ProvedAt();
  subject.RunReads(20);
  cr_assert(subject.reader.key_proofs.ProvedAt() == proved_at);
  subject.source.document = Version(9);
  subject.source.document_position = 6;
  const auto accepted_at = BootNow();
  subject.RunUntil([&] { return subject.HeldVersion(subject.other) == 9; });
  subject.RunUntil([&] { return *subject.reader.key_proofs.ProvedAt() >= accepted_at; });
  cr_assert(subject.reader.documents.Refusals().empty());
}

// The position stays in front of a refused version, which is read again.
Test(source_controller, with_a_version_damaged_on_its_way_reads_it_again, .timeout = 60) {
  reading_pair subject;
  subject.source.document = Version(7);
  subject.source.document_position = 4;
  subject.source.damaged_reads = 2;
  subject.Start();
  subject.RunUntil([&] { return subject.HeldVersion(subject.reader) == 7; });
  subject.RunUntil([&] { return subject.IsProved(); });
  cr_assert_eq(subject.Refusals(), 2U);
}

// A long poll must not outlast the time at which a refused version is read again.
Test(source_controller, with_a_refused_version_polls_no_longer_than_until_its_next_read,
     .timeout = 60) {
  reading_pair subject(milliseconds(60'000));
  subject.source.document = Version(8, false);
  subject.source.document_position = 5;
  subject.Start();
  subject.RunUntil([&] { return subject.Refusals() > 0; });
  for (int i = 0; i < 20; ++i) {
    subject.RunReads(1);
    cr_assert_leq(subject.source.last_wait.count(), 8'000);
  }
}

Test(source_controller, with_an_unreadable_order_proves_documents_and_reads_the_order_again,
     .timeout = 60) {
  reading_pair subject;
  subject.source.document = Version(7);
  subject.source.document_position = 4;
  subject.source.order_position = 5;
  subject.source.order_readable = false;
  int orders = 0;
  subject.controller.SetOrderListener([&](const rollout_order&, spread_range) { ++orders; });
  subject.Start();
  subject.RunUntil([&] { return subject.IsProved() && subject.Refusals() > 0; });
  cr_assert_eq(orders, 0);
  subject.source.order_readable = true;
  subject.RunUntil([&] { return orders > 0; });
}
