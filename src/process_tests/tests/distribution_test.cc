// Guarantees of document distribution, tested with real processes, platform faults and daemons that
// are killed and restarted without stored state.

#include <csignal>
#include <fstream>
#include <set>
#include <thread>

#include "framework/base/build_info.h"
#include "process_tests/fleet.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::build_info;
using catkinmoor::BuildName;
using catkinmoor::fleet;
using catkinmoor::Require;
using catkinmoor::SlotboardDocument;
using catkinmoor::ThisBuild;
using catkinmoor::WaitUntil;

bool BodyContains(const catkinmoor::http::response& response, const std::string& text) {
  return response.body.find(text) != std::string::npos;
}

void PutVersions(fleet& subject, std::uint64_t count) {
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto response = subject.PutDocument(
        subject.Addresses().front(), SlotboardDocument(1'000 + static_cast<std::int64_t>(i)), i);
    Require(response.status == 200, response.body);
  }
  subject.AwaitInForceEverywhere(count);
}

}  // namespace

Test(distribution,
     of_an_accepted_document_reaches_every_region_and_is_reported_in_force_everywhere) {
  fleet subject({.subnet = 60, .regions = 3, .data_centres = 2, .vms = 1, .start_targets = false});
  subject.Start();
  PutVersions(subject, 3);
  WaitUntil("the status to report the version in force everywhere", [&] {
    return BodyContains(subject.SendToAdministration(subject.Addresses().back(), "GET",
                                                     "/v1/documents/slotboard/status?version=3"),
                        "\"in_force_everywhere\":true");
  });
}

// An operator has to see which daemons run what was deployed, from any of them.
Test(distribution, of_daemons_of_one_build_states_it_in_logs_metrics_and_the_list_of_members) {
  fleet subject({.subnet = 200, .vms = 2, .start_targets = false});
  subject.Start();
  const build_info& build = ThisBuild();
  for (const std::string& address : subject.Addresses()) {
    std::string first;
    WaitUntil("the first line of the log", [&] {
      std::ifstream log(subject.Directory() + "/" + address + ".daemon.log");
      return static_cast<bool>(std::getline(log, first));
    });
    Require(first.find("\"sources\":\"" + build.sources + "\"") != std::string::npos, first);
    const std::string gauge = "catkinmoor_build_info{machine=\"" + build.machine + "\",sources=\"" +
                              build.sources + "\",version=\"" + build.version + "\"} 1";
    Require(BodyContains(subject.SendToAdministration(address, "GET", "/metrics"), gauge), gauge);
    const auto members = subject.SendToAdministration(address, "GET", "/v1/members");
    const std::string stated = "\"build\":\"" + BuildName(build) + "\"";
    const auto one = members.body.find(stated);
    Require(one != std::string::npos && members.body.find(stated, one + 1) != std::string::npos,
            members.body);
  }
}

Test(distribution, with_the_store_down_right_after_acceptance_still_reaches_every_daemon) {
  fleet subject({.subnet = 64, .regions = 3, .vms = 2, .start_targets = false});
  subject.Start();
  Require(subject.PutDocument(subject.Addresses().front(), SlotboardDocument(), 0).status == 200);
  subject.SetFaults(R"({"down": true})");
  subject.AwaitInForceEverywhere(1);
}

Test(distribution, with_the_store_down_refuses_an_edit_and_accepts_its_retry_later) {
  fleet subject({.subnet = 68, .vms = 2, .start_targets = false});
  subject.Start();
  PutVersions(subject, 1);
  subject.SetFaults(R"({"down": true})");
  const auto refused =
      subject.PutDocument(subject.Addresses().front(), SlotboardDocument(1'500), 1, "edit-1");
  Require(refused.status == 503);
  Require(BodyContains(refused, "edit-1"));
  subject.SetFaults("{}");
  const auto retried =
      subject.PutDocument(subject.Addresses().back(), SlotboardDocument(1'500), 1, "edit-1");
  Require(retried.status == 200);
  subject.AwaitInForceEverywhere(2);
}

Test(distribution, with_a_daemon_restarted_while_the_store_is_down_never_reverts) {
  fleet subject({.subnet = 72, .vms = 3, .start_targets = false});
  subject.Start();
  PutVersions(subject, 4);
  const std::string& address = subject.Addresses()[1];
  subject.SignalDaemon(address, SIGKILL);
  subject.SetFaults(R"({"down": true})");
  subject.StartDaemon(address);
  // Neighbours that still list the daemon as a member contact it with the version in force. Until
  // then it must not become ready.
  WaitUntil("the daemon to become ready without an older version in force before", [&] {
    const std::uint64_t in_force = subject.VersionInForce(address);
    const bool ready = subject.IsReady(address);
    Require(in_force == 0 || in_force == 4);
    return ready;
  });
  Require(subject.VersionInForce(address) == 4);
}

Test(distribution, with_a_daemon_restarted_and_a_store_serving_stale_reads_never_reverts) {
  fleet subject({.subnet = 76, .vms = 3, .start_targets = false});
  subject.Start();
  PutVersions(subject, 2);
  // The platform stand-in keeps a snapshot for stale reads whenever the fault is switched on: here
  // at version 2, and below again, when version 3 is in force.
  subject.SetFaults(R"({"stale": true})");
  subject.SetFaults("{}");
  Require(subject.PutDocument(subject.Addresses().front(), SlotboardDocument(1'700), 2).status ==
          200);
  subject.AwaitInForceEverywhere(3);
  subject.SetFaults(R"({"stale": true})");
  const std::string& address = subject.Addresses()[2];
  subject.SignalDaemon(address, SIGKILL);
  subject.StartDaemon(address);
  subject.AwaitReady(address);
  Require(subject.VersionInForce(address) == 3);
}

Test(distribution, with_half_the_daemons_killed_at_once_converges_after_their_restart) {
  fleet subject({.subnet = 80, .regions = 2, .vms = 4, .start_targets = false});
  subject.Start();
  PutVersions(subject, 1);
  std::set<std::string> killed;
  for (std::size_t i = 0; i < subject.Addresses().size(); i += 2) {
    killed.insert(subject.Addresses()[i]);
    subject.SignalDaemon(subject.Addresses()[i], SIGKILL);
  }
  Require(subject.PutDocument(subject.Addresses()[1], SlotboardDocument(1'600), 1).status == 200);
  for (const std::string& each : subject.Addresses()) {
    if (!killed.contains(each)) subject.AwaitInForce(each, 2);
  }
  for (const std::string& each : killed) subject.StartDaemon(each);
  subject.AwaitInForceEverywhere(2);
}

Test(distribution, with_a_daemon_paused_is_not_reported_in_force_everywhere) {
  // The long suspicion timeout keeps the paused daemon a member during the whole test; a member
  // that is declared dead is not counted in the status.
  fleet subject({.subnet = 84,
                 .regions = 2,
                 .vms = 3,
                 .extra_daemon_settings = R"(, "distribution": {"suspicion_ms": 600000})",
                 .start_targets = false});
  subject.Start();
  PutVersions(subject, 1);
  const std::string& paused = subject.Addresses().back();
  subject.SignalDaemon(paused, SIGSTOP);
  Require(subject.PutDocument(subject.Addresses().front(), SlotboardDocument(1'600), 1).status ==
          200);
  for (int i = 0; i < 5; ++i) subject.AwaitInForce(subject.Addresses()[i], 2);
  const auto status = subject.SendToAdministration(subject.Addresses().front(), "GET",
                                                   "/v1/documents/slotboard/status?version=2");
  Require(BodyContains(status, "\"in_force_everywhere\":false"));
  subject.SignalDaemon(paused, SIGCONT);
  subject.AwaitInForce(paused, 2);
}

Test(distribution, of_an_invalid_version_is_rejected_at_put) {
  fleet subject({.subnet = 88, .vms = 1, .start_targets = false});
  subject.Start();
  PutVersions(subject, 1);
  const auto refused = subject.PutDocument(subject.Addresses().front(), R"({"schema": 2})", 1);
  Require(refused.status == 422);
  Require(BodyContains(refused, "/schema"));
  Require(subject.VersionInForce(subject.Addresses().front()) == 1);
}

Test(distribution, with_source_readers_killed_still_reads_updates_from_the_source) {
  fleet subject({.subnet = 92, .regions = 1, .vms = 4, .start_targets = false});
  subject.Start();
  PutVersions(subject, 1);
  for (int i = 0; i < 3; ++i) subject.SignalDaemon(subject.Addresses()[i], SIGKILL);
  const auto& survivor = subject.Addresses()[3];
  Require(subject.PutDocument(survivor, SlotboardDocument(1'600), 1).status == 200);
  subject.AwaitInForce(survivor, 2);
  for (int i = 0; i < 3; ++i) subject.StartDaemon(subject.Addresses()[i]);
  subject.AwaitInForceEverywhere(2);
}
