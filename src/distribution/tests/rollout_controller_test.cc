// Controllers of several daemons in one process, with the table in memory. Messages are delivered
// directly; each daemon has a context of its own, which is not run while the daemon is paused.

#include "distribution/rollout_controller.h"

#include "distribution/tests/in_process_fleet.h"

#include <criterion/criterion.h>

namespace {

using namespace catkinmoor;                      // NOLINT(google-build-using-namespace)
using namespace catkinmoor::distribution_tests;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;

class recorded_status : public rollout_status_writer {
 public:
  std::vector<rollout_outcome> outcomes;

  asio::awaitable<result<done>> Write(rollout_order, rollout_outcome outcome) override {
    outcomes.push_back(outcome);
    co_return done{};
  }
};

struct daemon_part;

class rollout_peers : public in_process_peers {
 public:
  std::map<endpoint, daemon_part*> parts;

  asio::awaitable<result<rollout_report_reply>> ReportRollout(endpoint address,
                                                              rollout_report report,
                                                              milliseconds) override;
};

struct daemon_part {
  daemon_part(memory_platform& platform, rollout_peers& peers, recorded_status& status,
              const std::string& vm, std::uint16_t port, rollout_bounds bounds)
      : distribution(context, platform, peers, vm, port),
        router(board, "r", SuspendAwareNow, port),
        controller(context, distribution.deps, peers, distribution.exchange,
                   {board, router, platform, &status, bounds}) {
    peers.parts[distribution.self.Get().control] = this;
    asio::co_spawn(context, controller.Run(), asio::detached);
  }

  bool Conducts() const {
    const auto views = controller.View();
    return !views.empty() && views.front().conducts;
  }

  asio::io_context context;
  node distribution;
  rollout_board board;
  version_router router;
  rollout_controller controller;
};

asio::awaitable<result<rollout_report_reply>> rollout_peers::ReportRollout(endpoint address,
                                                                           rollout_report report,
                                                                           milliseconds) {
  const bool cut = Reach(report.sender, address) == nullptr;
  if (cut) co_return Unreachable("report rollout");
  rollout_report_reply reply = co_await parts.at(address)->controller.OnReport(std::move(report));
  co_return reply;
}

/// Three daemons that know each other; the first two read the source.
struct fleet {
  explicit fleet(rollout_bounds bounds = {0.1, 50, milliseconds(5'000)}) {
    peers.max_spread_messages = 1'000'000;
    for (std::uint16_t i = 0; i < 3; ++i) {
      parts.push_back(std::make_unique<daemon_part>(platform, peers, status,
                                                    "vm-" + std::to_string(i),
                                                    static_cast<std::uint16_t>(10 + i), bounds));
    }
    for (auto& each : parts) {
      for (auto& other : parts) {
        each->distribution.members.Merge(other->distribution.self.Get());
      }
    }
  }

  void Run(milliseconds span, daemon_part* paused = nullptr) {
    for (const time_point end = Now() + span; Now() < end;) {
      for (auto& each : parts) {
        if (each.get() != paused) each->context.run_for(milliseconds(2));
      }
    }
  }

  template <typename Condition>
  bool RunUntil(milliseconds limit, Condition condition, daemon_part* paused = nullptr) {
    for (const time_point end = Now() + limit; Now() < end;) {
      if (condition()) return true;
      Run(milliseconds(20), paused);
    }
    return condition();
  }

  void Order(std::uint64_t number, const std::string& target,
             milliseconds duration = milliseconds(60'000)) {
    for (auto& each : parts) {
      each->controller.OnOrder({"shop", number, target, duration}, spread_range::kRegion);
    }
  }

  daemon_part* Conductor() {
    for (auto& each : parts) {
      if (each->Conducts()) return each.get();
    }
    return nullptr;
  }

  int CountConductors() {
    int count = 0;
    for (auto& each : parts) count += each->Conducts() ? 1 : 0;
    return count;
  }

  memory_platform platform;
  rollout_peers peers;
  recorded_status status;
  std::vector<std::unique_ptr<daemon_part>> parts;
};

}  // namespace

// The table has a price; a fleet without an order must not use it.
Test(rollout_controller, without_an_order_reads_and_writes_nothing) {
  fleet subject;
  subject.Run(milliseconds(600));
  cr_assert_eq(subject.platform.ReadCount() + subject.platform.WriteCount(), 0);
}

Test(rollout_controller, without_bounds_ignores_orders) {
  fleet subject{rollout_bounds{}};
  subject.Order(7, "v2");
  subject.Run(milliseconds(600));
  cr_assert_eq(subject.platform.ReadCount(), 0);
  cr_assert(subject.parts[0]->board.IsEmpty());
}

Test(rollout_controller, with_an_order_has_one_conductor_that_all_hear) {
  fleet subject;
  subject.Order(7, "v2");
  cr_assert(
      subject.RunUntil(milliseconds(3'000), [&] { return !subject.status.outcomes.empty(); }));
  subject.Run(milliseconds(500));
  cr_assert_eq(subject.CountConductors(), 1);
  for (auto& each : subject.parts) {
    const auto held = each->board.Find("shop");
    cr_assert(held && !held->state.conductor.empty());
    cr_assert(held->state.phase == rollout_phase::kWaiting);
  }
  cr_assert(subject.status.outcomes == std::vector{rollout_outcome::kRunning});
}

// A paused conductor does not know that it was replaced. When it runs again it must not act.
Test(rollout_controller, with_a_paused_conductor_is_replaced_and_it_stops) {
  fleet subject;
  subject.Order(7, "v2");
  cr_assert(subject.RunUntil(milliseconds(3'000), [&] { return subject.Conductor() != nullptr; }));
  subject.Run(milliseconds(300));
  daemon_part* const paused = subject.Conductor();
  const auto replaced = [&] {
    for (auto& each : subject.parts) {
      if (each.get() != paused && each->Conducts()) return true;
    }
    return false;
  };
  subject.peers.isolated.insert(paused->distribution.self.Get().vm);
  cr_assert(subject.RunUntil(milliseconds(8'000), replaced, paused));
  subject.peers.isolated.clear();
  const std::uint64_t epoch = subject.Conductor()->board.Find("shop")->state.epoch;
  subject.Run(milliseconds(700));
  cr_assert(!paused->Conducts());
  cr_assert_eq(subject.CountConductors(), 1);
  cr_assert_geq(paused->board.Find("shop")->state.epoch, epoch);
}

// The conductor reaches the table, not the fleet, and others find it gone.
Test(rollout_controller, with_a_conductor_that_is_cut_off_is_replaced) {
  fleet subject;
  subject.Order(7, "v2");
  cr_assert(subject.RunUntil(milliseconds(3'000), [&] { return subject.Conductor() != nullptr; }));
  subject.Run(milliseconds(300));
  daemon_part* const cut = subject.Conductor();
  subject.peers.isolated.insert(cut->distribution.self.Get().vm);
  member_record gone = cut->distribution.self.Get();
  gone.version.state = member_state::kDead;
  for (auto& each : subject.parts) {
    if (each.get() != cut) each->distribution.members.Merge(gone);
  }
  cr_assert(subject.RunUntil(milliseconds(8'000), [&] {
    for (auto& each : subject.parts) {
      if (each.get() != cut && each->Conducts()) return !cut->Conducts();
    }
    return false;
  }));
}

// The first order ends when the second begins; its unproven version must get nothing afterwards.
Test(rollout_controller, with_a_second_order_excludes_the_version_of_the_first) {
  fleet subject;
  subject.Order(7, "v2");
  cr_assert(subject.RunUntil(milliseconds(3'000), [&] { return subject.Conductor() != nullptr; }));
  subject.Order(9, "v3");
  cr_assert(subject.RunUntil(milliseconds(3'000), [&] {
    const auto held = subject.parts[2]->board.Find("shop");
    return held && held->state.order.target == "v3" && !held->state.conductor.empty();
  }));
  cr_assert(subject.parts[2]->board.Find("shop")->state.excluded == std::vector<std::string>{"v2"});
}

// No targets: rolled back at the deadline, the status is written once, and then the table is left
// alone. A second daemon that learns of the order later learns its end from the row.
Test(rollout_controller, at_the_deadline_writes_the_end_once_and_leaves_the_table) {
  fleet subject;
  subject.Order(7, "v2", milliseconds(1'500));
  cr_assert(subject.RunUntil(milliseconds(6'000), [&] {
    return !subject.status.outcomes.empty() &&
           subject.status.outcomes.back() == rollout_outcome::kRolledBack;
  }));
  cr_assert(subject.RunUntil(milliseconds(2'000), [&] {
    const auto held = subject.parts[2]->board.Find("shop");
    return held->state.phase == rollout_phase::kRolledBack;
  }));
  // Candidates look once whether the end was written.
  subject.Run(milliseconds(6'500));
  const auto calls = subject.platform.ReadCount() + subject.platform.WriteCount();
  subject.Run(milliseconds(1'500));
  cr_assert_eq(subject.platform.ReadCount() + subject.platform.WriteCount(), calls);
  cr_assert(subject.status.outcomes ==
            std::vector({rollout_outcome::kRunning, rollout_outcome::kRolledBack}));
}

// The table does not answer: the lease ends, so that another could conduct, and nothing is stated.
Test(rollout_controller, without_the_table_stops_conducting) {
  fleet subject;
  subject.Order(7, "v2");
  cr_assert(subject.RunUntil(milliseconds(3'000), [&] { return subject.Conductor() != nullptr; }));
  subject.platform.SetFaultFunction(
      [](const std::string&) { return platform_fault::kUnavailable; });
  cr_assert(subject.RunUntil(milliseconds(5'000), [&] { return subject.Conductor() == nullptr; }));
  subject.platform.SetFaultFunction({});
  cr_assert(subject.RunUntil(milliseconds(6'000), [&] { return subject.CountConductors() == 1; }));
}

Test(conductor_row, after_serialisation_is_equal) {
  conductor_row row{"a", 4, {}, true, 0};
  row.record = {{"shop", 7, "v2", milliseconds(12'000)},
                rollout_phase::kHalf,
                milliseconds(2'000),
                9,
                {"v0"},
                "no worse"};
  cr_assert(ParseConductorRow(SerializeConductorRow(row)) == row);
  cr_assert(!ParseConductorRow("{}"));
  cr_assert(!ParseConductorRow("["));
}
