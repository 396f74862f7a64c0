// Guarantees while the links between regions fail.

#include <fstream>

#include "process_tests/fleet.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::fleet;
using catkinmoor::Require;
using catkinmoor::SlotboardDocument;
using catkinmoor::WaitUntil;

bool ReportedInForceEverywhere(const fleet& subject, const std::string& address, int version) {
  const auto status = subject.SendToAdministration(
      address, "GET", "/v1/documents/slotboard/status?version=" + std::to_string(version));
  return status.body.find("\"in_force_everywhere\":true") != std::string::npos;
}

}  // namespace

// A link stand-in cannot start if an outgoing connection occupies its port.
Test(links, of_every_region_listen_below_the_ephemeral_port_range) {
  const fleet subject(
      {.subnet = 150, .regions = 3, .vms = 2, .start_targets = false, .start_links = true});
  std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
  int lowest = 0;
  file >> lowest;
  Require(subject.MaxLinkPort() < lowest, "port " + std::to_string(subject.MaxLinkPort()));
}

Test(links, with_connections_gone_silent_deliver_every_request_once) {
  fleet subject(
      {.subnet = 140,
       .regions = 2,
       .vms = 1,
       .extra_daemon_settings = R"(, "proxy": {"silence_check_ms": 300, "fence_timeout_ms": 300})",
       .start_targets = false,
       .start_links = true});
  subject.Start();
  const std::string near_vm = subject.Addresses().front();
  const std::string far_vm = subject.Addresses().back();
  subject.StartTarget(far_vm);
  Require(subject.PutDocument(near_vm, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(near_vm, 1);
  for (int i = 0; i < 10; ++i) Require(subject.SendToEntry(near_vm, "GET", "/warm").status == 200);
  for (int i = 0; i < 4; ++i) {
    subject.ControlLink(1, "silence");
    const std::string path = "/holds/" + std::to_string(i);
    const auto response = subject.SendToEntry(near_vm, "POST", path);
    Require(response.status == 200, "status " + std::to_string(response.status) + response.body);
    Require(subject.CountInTargetLedgers("\"path\":\"" + path + "\"") == 1);
    subject.ControlLink(1, "silence");
    Require(subject.SendToEntry(near_vm, "GET", "/slots").status == 200);
  }
}

Test(links, cut_between_regions_delay_a_change_until_healed_and_its_status_shows_the_delay) {
  fleet subject(
      {.subnet = 150, .regions = 3, .vms = 2, .start_targets = false, .start_links = true});
  subject.Start();
  const std::string& first = subject.Addresses().front();
  Require(subject.PutDocument(first, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  for (int region = 1; region <= 3; ++region) subject.ControlLink(region, "cut");
  Require(subject.PutDocument(first, SlotboardDocument(1'500), 1).status == 200);
  subject.AwaitInForce(subject.Addresses()[1], 2);
  Require(!ReportedInForceEverywhere(subject, first, 2));
  Require(subject.VersionInForce(subject.Addresses().back()) == 1);
  for (int region = 1; region <= 3; ++region) subject.ControlLink(region, "heal");
  subject.AwaitInForceEverywhere(2);
  WaitUntil("the status to report the version in force everywhere",
            [&] { return ReportedInForceEverywhere(subject, first, 2); });
}
