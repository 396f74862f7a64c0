#include "distribution/tests/in_process_fleet.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::member_record;
using catkinmoor::member_state;
using catkinmoor::spread_reply;
using catkinmoor::spread_request;
using catkinmoor::distribution_tests::in_process_peers;
using catkinmoor::distribution_tests::node;
using catkinmoor::distribution_tests::RecordOf;

constexpr std::uint16_t kNodes = 12;

std::string NameOf(std::uint16_t index) { return "vm-" + std::to_string(index); }

}  // namespace

// Pattern: a vm is gone for good and a new one got its address, while the others still take the old
// one to be alive. What is sent to the old one reaches the new one.
Test(record_exchange, with_the_address_of_a_gone_vm_reused_spreads_a_change_once) {
  for (std::uint16_t reused = 2; reused <= kNodes; ++reused) {
    asio::io_context context;
    catkinmoor::memory_platform platform;
    in_process_peers peers;
    std::deque<node> nodes;
    for (std::uint16_t i = 1; i <= kNodes; ++i) {
      const std::string name = i == reused ? "newcomer" : NameOf(i);
      nodes.emplace_back(context, platform, peers, name, i);
    }
    for (node& each : nodes) {
      for (std::uint16_t i = 1; i <= kNodes; ++i) each.members.Merge(RecordOf(NameOf(i), i));
    }
    nodes[reused - 1].members.Merge(RecordOf("newcomer", reused));
    nodes[0].self.Update([](member_record& record) { record.region = "moved"; });
    const member_record updated = nodes[0].self.Get();
    nodes[0].exchange.AnnounceSelf();
    context.run();
    cr_assert(peers.spread_messages <= 3 * kNodes, "%d messages when vm-%d is gone",
              peers.spread_messages, reused);
    for (std::uint16_t i = 1; i <= kNodes; ++i) {
      if (i == reused) continue;
      const auto held = nodes[i - 1].members.Find(NameOf(1));
      cr_assert(held != nullptr && held->version == updated.version, "vm-%d was left out", i);
    }
  }
}

// Guards against TWICE of review case 1: a daemon that started behind its predecessor's time of day
// took over its incarnation and denied the requests that it had forwarded.
Test(self_record, refuting_a_predecessor_with_a_later_clock_takes_an_incarnation_of_its_own) {
  member_record started = RecordOf("vm-1", 1);
  started.version = {1'000, 1, member_state::kAlive};
  catkinmoor::self_record subject(started);
  const catkinmoor::member_version predecessor{3'000, 7, member_state::kAlive};
  cr_assert(subject.Refute(predecessor));
  cr_assert(subject.Get().version.incarnation > predecessor.incarnation);
  cr_assert(subject.Get().version > predecessor);
}

Test(self_record, refuting_a_suspicion_of_itself_keeps_its_incarnation) {
  member_record started = RecordOf("vm-1", 1);
  started.version = {1'000, 1, member_state::kAlive};
  catkinmoor::self_record subject(started);
  cr_assert(subject.Refute({1'000, 1, member_state::kDead}));
  cr_assert(subject.Get().version == (catkinmoor::member_version{1'000, 2, member_state::kAlive}));
  cr_assert_not(subject.Refute({900, 9, member_state::kDead}));
}

// A daemon that had refuted a record of its predecessor refused requests, and denied knowledge of
// those that it ran, which entries had sent to it before.
Test(self_record, after_refuting_a_predecessor_owns_its_former_incarnations) {
  member_record started = RecordOf("vm-1", 1);
  started.version = {1'000, 1, member_state::kAlive};
  catkinmoor::self_record subject(started);
  cr_assert(subject.IsOwn(1'000));
  cr_assert(subject.Refute({3'000, 7, member_state::kAlive}));
  cr_assert(subject.Refute({5'000, 2, member_state::kSuspect}));
  for (const std::uint64_t own : {1'000, 3'001, 5'001}) cr_assert(subject.IsOwn(own));
  for (const std::uint64_t other : {999, 3'000, 5'000, 5'002}) cr_assert_not(subject.IsOwn(other));
}

Test(record_exchange, of_a_message_meant_for_another_vm_takes_nothing) {
  asio::io_context context;
  catkinmoor::memory_platform platform;
  in_process_peers peers;
  node subject(context, platform, peers, "newcomer", 1);
  spread_request message{.sender = "vm-2", .sender_data_centre = "d"};
  message.members.push_back(RecordOf("vm-2", 2));
  message.recipient = "vm-1";
  spread_reply reply;
  asio::co_spawn(
      context, subject.exchange.OnSpread(message),
      [&](const std::exception_ptr&, const spread_reply& received) { reply = received; });
  context.run();
  cr_assert(reply.misdirected);
  cr_assert(subject.members.Find("vm-2") == nullptr);
}
