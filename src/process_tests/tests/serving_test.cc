// Promises of the serving path, with real processes killed, paused and stopped under load.

#include <csignal>
#include <future>
#include <random>
#include <thread>

#include "process_tests/fleet.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::Expect;
using catkinmoor::fleet;
using catkinmoor::load_report;
using catkinmoor::RunLoad;
using catkinmoor::SlotboardDocument;
using catkinmoor::http::Header;

/// Starts a fleet with its document in force everywhere.
void StartServing(fleet& subject) {
  subject.Start();
  const auto put = subject.Put(subject.Addresses().front(), SlotboardDocument(), 0);
  Expect(put.status == 200, std::to_string(put.status) + " " + put.body);
  subject.AwaitInForceEverywhere(1);
}

std::uint64_t Count(const load_report& report, const char* outcome) {
  const auto found = report.outcomes.find(outcome);
  return found == report.outcomes.end() ? 0 : found->second;
}

}  // namespace

Test(serving, with_targets_killed_under_load_runs_no_booking_twice) {
  fleet subject({.subnet = 20, .vms = 4});
  StartServing(subject);
  auto load = std::async(std::launch::async, RunLoad, subject.Load(1, 5));
  for (int round = 0; round < 6; ++round) {
    const std::string victim = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.SignalTarget(victim, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.StartTarget(victim);
  }
  const load_report seen = load.get();
  Expect(subject.Check().Clean());
  Expect(Count(seen, "answered") > 500);
  // Requests that merely happened to be in flight are not refused for it.
  for (const std::string& each : subject.Addresses()) {
    const std::string listed = subject.Administration(each, "GET", "/v1/quarantine").body;
    Expect(listed.find("fingerprint") == std::string::npos, listed);
  }
}

Test(serving, with_daemons_killed_under_load_keeps_every_word_it_gave) {
  fleet subject({.subnet = 24, .vms = 4});
  StartServing(subject);
  auto load = std::async(std::launch::async, RunLoad, subject.Load(2, 5));
  for (int round = 0; round < 5; ++round) {
    const std::string victim = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.SignalDaemon(victim, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    subject.StartDaemon(victim);
  }
  const load_report seen = load.get();
  Expect(subject.Check().Clean());
  Expect(Count(seen, "answered") > 500);
}

Test(serving, with_daemons_and_targets_paused_under_load_keeps_every_word_it_gave) {
  fleet subject({.subnet = 28, .vms = 4});
  StartServing(subject);
  auto load = std::async(std::launch::async, RunLoad, subject.Load(3, 8));
  std::mt19937 random(3);
  for (int round = 0; round < 4; ++round) {
    const std::string victim = subject.Addresses()[random() % 4];
    const bool daemon = round % 2 == 0;
    daemon ? subject.SignalDaemon(victim, SIGSTOP) : subject.SignalTarget(victim, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    daemon ? subject.SignalDaemon(victim, SIGCONT) : subject.SignalTarget(victim, SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  load.get();
  // What a resumed process still held has had its chance to run by now.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  Expect(subject.Check().Clean());
}

Test(serving, with_a_target_stopped_under_load_loses_no_request) {
  fleet subject({.subnet = 32, .vms = 3});
  StartServing(subject);
  auto load = std::async(std::launch::async, RunLoad, subject.Load(4, 4));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::string victim = subject.Addresses()[1];
  subject.SignalTarget(victim, SIGTERM);
  Expect(subject.AwaitTargetEnd(victim) == 0);
  const load_report seen = load.get();
  Expect(subject.Check().Clean());
  Expect(Count(seen, "answered") > 1'000);
  Expect(Count(seen, "broken") + Count(seen, "unknown") + Count(seen, "wrong") +
             Count(seen, "not-run") ==
         0);
}

Test(serving, with_every_daemon_stopped_in_turn_under_load_loses_no_request) {
  fleet subject({.subnet = 36, .vms = 3});
  StartServing(subject);
  // Callers keep to the entry that is not being stopped; the gates behind it go one by one.
  auto settings = subject.Load(5, 8);
  settings.entries = {settings.entries.front()};
  auto load = std::async(std::launch::async, RunLoad, settings);
  for (const std::size_t index : {1U, 2U}) {
    const std::string victim = subject.Addresses()[index];
    subject.SignalDaemon(victim, SIGTERM);
    Expect(subject.AwaitDaemonEnd(victim) == 0);
    subject.StartDaemon(victim);
    subject.AwaitReady(victim);
    subject.AwaitTargets(subject.Addresses().front(), 3);
  }
  const load_report seen = load.get();
  Expect(subject.Check().Clean());
  Expect(Count(seen, "broken") + Count(seen, "unknown") + Count(seen, "wrong") +
             Count(seen, "not-run") ==
         0);
}

Test(serving, at_an_entry_that_stops_under_load_cuts_no_request) {
  fleet subject({.subnet = 40, .vms = 2});
  StartServing(subject);
  auto settings = subject.Load(6, 4);
  settings.mix = {1, 1, 1};
  settings.download_bytes = 3'000'000;
  settings.rate = 100;
  settings.entries = {settings.entries.back()};
  auto load = std::async(std::launch::async, RunLoad, settings);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  subject.SignalDaemon(subject.Addresses().back(), SIGTERM);
  Expect(subject.AwaitDaemonEnd(subject.Addresses().back()) == 0);
  load.get();
  const auto report = subject.Check();
  Expect(report.Clean());
  // Callers find the entry gone afterwards, but nothing that it had taken on was lost.
  Expect(report.unknown == 0);
}

Test(serving, with_a_target_leaving_gives_it_no_new_work_from_any_daemon) {
  fleet subject({.subnet = 44, .regions = 2, .vms = 2});
  StartServing(subject);
  const std::string leaver = subject.Addresses().front();
  subject.SignalTarget(leaver, SIGTERM);
  Expect(subject.AwaitTargetEnd(leaver) == 0);
  for (const std::string& each : subject.Addresses()) subject.AwaitTargets(each, 3);
  const std::size_t before = subject.CountRuns("\"path\":\"/after\"");
  for (const std::string& each : subject.Addresses()) {
    for (int i = 0; i < 10; ++i) Expect(subject.Request(each, "GET", "/after").status == 200);
  }
  Expect(subject.CountRuns("\"path\":\"/after\"") == before + 40);
}

Test(serving, with_a_target_replaced_by_one_of_another_service_sends_it_nothing) {
  fleet subject({.subnet = 48, .vms = 2});
  StartServing(subject);
  const std::string replaced = subject.Addresses()[1];
  subject.SignalTarget(replaced, SIGKILL);
  subject.StartTarget(replaced, "bookdesk");
  subject.AwaitTargets(subject.Addresses().front(), 1, "bookdesk");
  for (int i = 0; i < 40; ++i) {
    Expect(subject.Request(subject.Addresses()[i % 2], "POST", "/holds/x").status == 200);
  }
  Expect(subject.CountRuns("\"service\":\"bookdesk\"") == 0);
}

Test(serving, without_any_target_says_not_run) {
  fleet subject({.subnet = 52, .vms = 1, .targets = false});
  subject.Start();
  subject.Put(subject.Addresses().front(), SlotboardDocument(), 0);
  subject.AwaitInForceEverywhere(1);
  const auto answer = subject.Request(subject.Addresses().front(), "POST", "/holds/1");
  Expect(answer.status == 503);
  Expect(Header(answer.headers, "x-catkinmoor-outcome") == "not-run");
}

Test(serving, of_calls_nested_too_deeply_ends_them_at_the_bound) {
  fleet subject({.subnet = 56, .vms = 1});
  StartServing(subject);
  std::string path = "/slots";
  for (int i = 0; i < 8; ++i) path.insert(0, "/call/slotboard");
  const auto answer = subject.Request(subject.Addresses().front(), "GET", path);
  Expect(answer.status == 508);
  Expect(subject.CountRuns("\"service\":\"slotboard\"") == 6);
}

Test(serving, of_a_request_that_crashes_targets_loses_two_at_most) {
  fleet subject(
      {.subnet = 128, .regions = 2, .vms = 3, .target_extra = R"(, "crash_path": "/poison")"});
  StartServing(subject);
  for (int round = 0; round < 3; ++round) {
    for (const std::string& each : subject.Addresses()) subject.Request(each, "GET", "/poison");
  }
  const std::size_t lost = subject.CountRuns("\"path\":\"/poison\"");
  Expect(lost == 2, "lost " + std::to_string(lost));
  const auto refused = subject.Request(subject.Addresses().front(), "GET", "/poison");
  Expect(Header(refused.headers, "x-catkinmoor-outcome") == "not-run");
  Expect(Header(refused.headers, "x-catkinmoor-reason") == "quarantined");
  // Other requests go on, to the targets that are left.
  for (const std::string& each : subject.Addresses()) {
    Expect(subject.Request(each, "GET", "/slots").status == 200);
  }
}

Test(serving, of_a_released_request_lets_it_through_again) {
  fleet subject({.subnet = 132, .vms = 3, .target_extra = R"(, "crash_path": "/poison")"});
  StartServing(subject);
  const std::string& entry = subject.Addresses().front();
  for (int i = 0; i < 3; ++i) subject.Request(entry, "GET", "/poison");
  const std::string listed = subject.Administration(entry, "GET", "/v1/quarantine").body;
  const auto begin = listed.find("\"fingerprint\":\"") + 15;
  const std::string fingerprint = listed.substr(begin, listed.find('"', begin) - begin);
  Expect(subject.Administration(entry, "DELETE", "/v1/quarantine/" + fingerprint).status == 200);
  subject.Request(entry, "GET", "/poison");
  Expect(subject.CountRuns("\"path\":\"/poison\"") == 3);
}

Test(serving, of_downloads_whose_targets_die_goes_on_from_others) {
  fleet subject({.subnet = 164, .vms = 4});
  StartServing(subject);
  auto settings = subject.Load(7, 4);
  settings.mix = {0, 0, 1};
  settings.download_bytes = 20'000'000;
  settings.rate = 0;
  settings.callers = 4;
  auto load = std::async(std::launch::async, RunLoad, settings);
  for (int round = 0; round < 5; ++round) {
    const std::string victim = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    subject.SignalTarget(victim, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    subject.StartTarget(victim);
  }
  const load_report seen = load.get();
  Expect(Count(seen, "answered") > 20);
  Expect(Count(seen, "wrong") == 0);
  Expect(Count(seen, "broken") == 0, std::to_string(Count(seen, "broken")) + " broken");
}
