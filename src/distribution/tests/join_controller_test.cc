#include "distribution/tests/in_process_fleet.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::distribution_tests::in_process_peers;
using catkinmoor::distribution_tests::node;

}  // namespace

// A newcomer that reaches enough peers writes no rendezvous record, so nobody finds it unless it
// announces itself to those peers. They may be just as new and know no other member.
Test(join_controller, joining_through_peers_without_members_announces_itself_to_them) {
  asio::io_context context;
  catkinmoor::memory_platform platform;
  in_process_peers peers;
  std::deque<node> others;
  for (std::uint16_t i = 1; i <= 3; ++i) {
    others.emplace_back(context, platform, peers, "other-" + std::to_string(i), i);
    std::vector<catkinmoor::row_write> rows = {
        {"meet/r.new." + std::to_string(i),
         R"({"control":"10.0.0.1:)" + std::to_string(i) + R"(","data_centre":"d"})", std::nullopt}};
    asio::co_spawn(context, platform.Transact(std::move(rows)), asio::detached);
  }
  context.run();
  context.restart();
  node subject(context, platform, peers, "subject", 9);
  asio::co_spawn(context, subject.join.Join(), asio::detached);
  while (!subject.join.Ready() && context.run_one() > 0) {
  }
  for (const node& each : others) cr_assert(each.members.Find("subject") != nullptr);
}
