// Promises while the links between regions fail.

#include <fstream>

#include "process_tests/fleet.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::Await;
using catkinmoor::Expect;
using catkinmoor::fleet;
using catkinmoor::SlotboardDocument;

bool SaysEverywhere(const fleet& subject, const std::string& address, int version) {
  const auto status = subject.Administration(
      address, "GET", "/v1/documents/slotboard/status?version=" + std::to_string(version));
  return status.body.find("\"in_force_everywhere\":true") != std::string::npos;
}

}  // namespace

// A link whose port is taken by an outgoing connection cannot start.
Test(links, of_every_region_listen_below_the_ports_that_the_system_hands_out) {
  const fleet subject({.subnet = 150, .regions = 3, .vms = 2, .targets = false, .links = true});
  std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
  int lowest = 0;
  file >> lowest;
  Expect(subject.HighestLinkPort() < lowest, "port " + std::to_string(subject.HighestLinkPort()));
}

Test(links, with_connections_gone_silent_let_every_request_through_once) {
  fleet subject({.subnet = 140,
                 .regions = 2,
                 .vms = 1,
                 .daemon_extra = R"(, "proxy": {"silence_check_ms": 300, "fence_timeout_ms": 300})",
                 .targets = false,
                 .links = true});
  subject.Start();
  const std::string near = subject.Addresses().front();
  const std::string far = subject.Addresses().back();
  subject.StartTarget(far);
  Expect(subject.Put(near, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(near, 1);
  for (int i = 0; i < 10; ++i) Expect(subject.Request(near, "GET", "/warm").status == 200);
  for (int i = 0; i < 4; ++i) {
    subject.ControlLink(1, "silence");
    const std::string path = "/holds/" + std::to_string(i);
    const auto answer = subject.Request(near, "POST", path);
    Expect(answer.status == 200, "status " + std::to_string(answer.status) + answer.body);
    Expect(subject.CountRuns("\"path\":\"" + path + "\"") == 1);
    subject.ControlLink(1, "silence");
    Expect(subject.Request(near, "GET", "/slots").status == 200);
  }
}

Test(links, cut_between_regions_hold_a_change_back_until_they_heal_and_status_says_so) {
  fleet subject({.subnet = 150, .regions = 3, .vms = 2, .targets = false, .links = true});
  subject.Start();
  const std::string& first = subject.Addresses().front();
  Expect(subject.Put(first, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  for (int region = 1; region <= 3; ++region) subject.ControlLink(region, "cut");
  Expect(subject.Put(first, SlotboardDocument(1'500), 1).status == 200);
  subject.AwaitInForce(subject.Addresses()[1], 2);
  Expect(!SaysEverywhere(subject, first, 2));
  Expect(subject.InForce(subject.Addresses().back()) == 1);
  for (int region = 1; region <= 3; ++region) subject.ControlLink(region, "heal");
  subject.AwaitInForceEverywhere(2);
  Await("the status to say everywhere", [&] { return SaysEverywhere(subject, first, 2); });
}
