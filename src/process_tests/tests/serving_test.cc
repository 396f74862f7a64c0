// Guarantees for requests, tested with real processes that are killed, paused and stopped under
// load.

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <future>
#include <random>
#include <sstream>
#include <thread>

#include "process_tests/fleet.h"
#include "process_tests/scripted_target.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::fleet;
using catkinmoor::load_report;
using catkinmoor::Require;
using catkinmoor::RunLoad;
using catkinmoor::SlotboardDocument;
using catkinmoor::WaitUntil;
using catkinmoor::http::HeaderValue;

/// Starts a fleet, and waits until its document is in force at every daemon.
void StartServing(fleet& subject) {
  subject.Start();
  const auto put = subject.PutDocument(subject.Addresses().front(), SlotboardDocument(), 0);
  Require(put.status == 200, std::to_string(put.status) + " " + put.body);
  subject.AwaitInForceEverywhere(1);
}

std::uint64_t Count(const load_report& report, const char* outcome) {
  const auto found = report.outcomes.find(outcome);
  return found == report.outcomes.end() ? 0 : found->second;
}

/// Whether an entry has left a query of a gate unanswered whose member is not alive any more.
bool HasLoggedGateInDoubt(const fleet& subject, const std::string& entry) {
  std::istringstream log(subject.DaemonLog(entry));
  for (std::string line; std::getline(log, line);) {
    const bool unanswered = line.find("gate does not answer about a request") != std::string::npos;
    const bool alive = line.find(R"("member_state":"alive")") != std::string::npos;
    if (unanswered && !alive) return true;
  }
  return false;
}

std::string SuccessWith(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Holds a scripted target until a flag is set, or for so long that the test has failed.
void AwaitFlag(const std::atomic<bool>& flag) {
  const auto end = catkinmoor::Now() + std::chrono::seconds(20);
  while (!flag && catkinmoor::Now() < end) catkinmoor::SleepBetweenPolls();
}

}  // namespace

Test(serving, with_targets_killed_under_load_runs_no_booking_twice) {
  fleet subject({.subnet = 20, .vms = 4});
  StartServing(subject);
  auto pending_load = std::async(std::launch::async, RunLoad, subject.LoadSettings(1, 5));
  for (int round = 0; round < 6; ++round) {
    const std::string address = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.SignalTarget(address, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.StartTarget(address);
  }
  const load_report report = pending_load.get();
  Require(subject.CheckAllLedgers().HasNoViolations());
  Require(Count(report, "answered") > 500);
  // Requests that were in flight when a target was killed must not be quarantined.
  for (const std::string& each : subject.Addresses()) {
    const std::string listed = subject.SendToAdministration(each, "GET", "/v1/quarantine").body;
    Require(listed.find("fingerprint") == std::string::npos, listed);
  }
}

Test(serving, with_daemons_killed_under_load_reports_no_false_outcome) {
  fleet subject({.subnet = 24, .vms = 4});
  StartServing(subject);
  auto pending_load = std::async(std::launch::async, RunLoad, subject.LoadSettings(2, 5));
  for (int round = 0; round < 5; ++round) {
    const std::string address = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    subject.SignalDaemon(address, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    subject.StartDaemon(address);
  }
  const load_report report = pending_load.get();
  Require(subject.CheckAllLedgers().HasNoViolations());
  Require(Count(report, "answered") > 500);
}

Test(serving, with_daemons_and_targets_paused_under_load_reports_no_false_outcome) {
  fleet subject({.subnet = 28, .vms = 4});
  StartServing(subject);
  auto pending_load = std::async(std::launch::async, RunLoad, subject.LoadSettings(3, 8));
  std::mt19937 random(3);
  for (int round = 0; round < 4; ++round) {
    const std::string address = subject.Addresses()[random() % 4];
    const bool daemon = round % 2 == 0;
    daemon ? subject.SignalDaemon(address, SIGSTOP) : subject.SignalTarget(address, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    daemon ? subject.SignalDaemon(address, SIGCONT) : subject.SignalTarget(address, SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  pending_load.get();
  // Gives requests that a resumed process still held the time to run, so that the ledgers show
  // them.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  Require(subject.CheckAllLedgers().HasNoViolations());
}

Test(serving, with_a_target_stopped_under_load_loses_no_request) {
  fleet subject({.subnet = 32, .vms = 3});
  StartServing(subject);
  auto pending_load = std::async(std::launch::async, RunLoad, subject.LoadSettings(4, 4));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::string address = subject.Addresses()[1];
  subject.SignalTarget(address, SIGTERM);
  Require(subject.WaitForTargetExit(address) == 0);
  const load_report report = pending_load.get();
  Require(subject.CheckAllLedgers().HasNoViolations());
  Require(Count(report, "answered") > 1'000);
  Require(Count(report, "broken") + Count(report, "unknown") + Count(report, "wrong") +
              Count(report, "not-run") ==
          0);
}

Test(serving, with_every_daemon_stopped_in_turn_under_load_loses_no_request) {
  fleet subject({.subnet = 36, .vms = 3});
  StartServing(subject);
  // Callers use only the entry of the first vm, which is not stopped; the daemons of the other
  // gates are stopped one after the other.
  auto settings = subject.LoadSettings(5, 8);
  settings.entries = {settings.entries.front()};
  auto pending_load = std::async(std::launch::async, RunLoad, settings);
  for (const std::size_t index : {1U, 2U}) {
    const std::string address = subject.Addresses()[index];
    subject.SignalDaemon(address, SIGTERM);
    Require(subject.WaitForDaemonExit(address) == 0);
    subject.StartDaemon(address);
    subject.AwaitReady(address);
    subject.AwaitTargets(subject.Addresses().front(), 3);
  }
  const load_report report = pending_load.get();
  Require(subject.CheckAllLedgers().HasNoViolations());
  Require(Count(report, "broken") + Count(report, "unknown") + Count(report, "wrong") +
              Count(report, "not-run") ==
          0);
}

// Pattern: a third restarts in turn. The target of a stopping daemon serves during the notice.
Test(serving, with_the_daemon_of_the_only_target_stopping_serves_during_the_notice) {
  fleet subject({.subnet = 180,
                 .vms = 2,
                 .extra_daemon_settings = R"(, "drain_notice_ms": 10000)",
                 .start_targets = false});
  subject.Start();
  const std::string entry = subject.Addresses().front();
  const std::string stopping = subject.Addresses().back();
  subject.StartTarget(stopping);
  Require(subject.PutDocument(entry, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  for (const std::string& each : subject.Addresses()) subject.AwaitTargets(each, 1);
  subject.SignalDaemon(stopping, SIGTERM);
  WaitUntil("the stopping daemon to say that it is not ready",
            [&] { return !subject.IsReady(stopping); });
  for (int i = 0; i < 20; ++i) {
    for (const std::string& each : subject.Addresses()) {
      const auto response = subject.SendToEntry(each, "GET", "/slots");
      Require(response.status == 200, std::to_string(response.status) + " " + response.body);
    }
  }
  Require(subject.WaitForDaemonExit(stopping) == 0);
}

// A daemon that stopped closed the connections of requests that waited in other gates' queues, so
// that their callers could not tell whether they had run.
Test(serving, at_an_entry_that_stops_answers_requests_that_wait_at_other_gates) {
  fleet subject({.subnet = 184,
                 .vms = 2,
                 .extra_target_settings = R"(, "slots": 1)",
                 .extra_daemon_settings = R"(, "drain_notice_ms": 300, "drain_timeout_ms": 1500)",
                 .start_targets = false});
  subject.Start();
  const std::string stopping = subject.Addresses().front();
  subject.StartTarget(subject.Addresses().back());
  Require(subject.PutDocument(stopping, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(stopping, 1);
  const auto send = [&](const char* method, const char* target) {
    return std::async(std::launch::async, [&, method, target] {
      return subject.SendToEntry(stopping, method, target);
    });
  };
  auto running = send("POST", "/running?work_ms=3900");
  WaitUntil("the target to run a request",
            [&] { return subject.CountInTargetLedgers("\"path\":\"/running\"") == 1; });
  constexpr int kWaiting = 6;
  std::vector<std::future<catkinmoor::http::response>> waiting;
  waiting.reserve(kWaiting);
  for (int i = 0; i < kWaiting; ++i)
    waiting.push_back(send(i % 2 == 0 ? "POST" : "GET", "/waiting"));
  subject.SignalDaemon(stopping, SIGTERM);
  for (auto& each : waiting) {
    const auto response = each.get();
    Require(response.status == 503, std::to_string(response.status) + " " + response.body);
    Require(HeaderValue(response.headers, "x-catkinmoor-outcome") == "not-run");
    Require(!HeaderValue(response.headers, "retry-after").empty());
  }
  const auto response = running.get();
  Require(response.status == 502, std::to_string(response.status) + " " + response.body);
  Require(HeaderValue(response.headers, "x-catkinmoor-outcome") == "unknown");
  Require(subject.WaitForDaemonExit(stopping) == 0);
  Require(subject.CountInTargetLedgers("\"path\":\"/waiting\"") == 0);
}

// Requests taken during the notice of a stop reached targets with a deadline after its end, so that
// targets worked on answers that could not be delivered.
Test(serving, at_an_entry_that_stops_gives_targets_no_deadline_after_its_end) {
  fleet subject({.subnet = 188,
                 .vms = 2,
                 .extra_daemon_settings = R"(, "drain_notice_ms": 3000, "drain_timeout_ms": 800)",
                 .start_targets = false});
  subject.Start();
  const std::string stopping = subject.Addresses().front();
  std::atomic<int> deadline_ms = 0;
  const catkinmoor::scripted_target target(
      subject.Addresses().back(), [&](const std::string& head) {
        const std::string name = "x-catkinmoor-deadline-ms: ";
        deadline_ms = std::atoi(head.substr(head.find(name) + name.size()).c_str());
        return catkinmoor::scripted_target::response{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                                     true};
      });
  Require(subject.PutDocument(stopping, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(stopping, 1);
  Require(subject.SendToEntry(stopping, "POST", "/before").status == 200);
  Require(deadline_ms > 3'800 && deadline_ms <= 4'000, std::to_string(deadline_ms));
  subject.SignalDaemon(stopping, SIGTERM);
  WaitUntil("the daemon to say that it is not ready", [&] { return !subject.IsReady(stopping); });
  Require(subject.SendToEntry(stopping, "POST", "/after").status == 200);
  Require(deadline_ms > 0 && deadline_ms < 3'800, std::to_string(deadline_ms));
  Require(subject.WaitForDaemonExit(stopping) == 0);
}

// An entry that stopped gave up a request when its gate's daemon was suspected and left one query
// unanswered, although the target behind the gate ran the request to its end.
Test(serving, at_an_entry_that_stops_waits_for_the_response_behind_a_suspected_gate) {
  fleet subject({.subnet = 192,
                 .vms = 2,
                 .extra_daemon_settings = R"(, "drain_notice_ms": 300, "drain_timeout_ms": 20000)",
                 .start_targets = false});
  subject.Start();
  const std::string stopping = subject.Addresses().front();
  const std::string gate = subject.Addresses().back();
  std::atomic<bool> done = false;
  const catkinmoor::scripted_target target(gate, [&](const std::string& /*head*/) {
    AwaitFlag(done);
    return catkinmoor::scripted_target::response{SuccessWith("done"), true};
  });
  const std::string single_attempt =
      R"({"name": "single", "match": {"methods": ["GET"], "prefix": "/running"}, "class": "browse",
          "repeatable": true, "attempts": 1, "deadline_ms": 20000},)";
  const auto put = subject.PutDocument(stopping, SlotboardDocument(20'000, single_attempt), 0);
  Require(put.status == 200, std::to_string(put.status) + " " + put.body);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(stopping, 1);
  auto running = std::async(std::launch::async,
                            [&] { return subject.SendToEntry(stopping, "GET", "/running"); });
  WaitUntil("the target to run the request", [&] { return target.Requests() == 1; });
  subject.SignalDaemon(gate, SIGSTOP);
  subject.SignalDaemon(stopping, SIGTERM);
  WaitUntil("a query of the suspected gate to stay unanswered",
            [&] { return HasLoggedGateInDoubt(subject, stopping); });
  done = true;
  subject.SignalDaemon(gate, SIGCONT);
  const auto response = running.get();
  Require(response.status == 200, std::to_string(response.status) + " " + response.body);
  Require(target.Requests() == 1, std::to_string(target.Requests()));
  Require(subject.WaitForDaemonExit(stopping) == 0);
}

// The response of an attempt whose gate stood still for a while was thrown away in favour of that
// of a later attempt.
Test(serving, with_two_attempts_in_doubt_delivers_the_response_that_arrives_first) {
  fleet subject({.subnet = 196, .vms = 3, .start_targets = false});
  subject.Start();
  const std::string entry = subject.Addresses().front();
  std::atomic<int> requests = 0;
  std::atomic<bool> first_done = false;
  std::atomic<bool> second_done = false;
  const auto respond = [&](const std::string& /*head*/) {
    const bool is_first = ++requests == 1;
    AwaitFlag(is_first ? first_done : second_done);
    return catkinmoor::scripted_target::response{SuccessWith(is_first ? "first" : "second"), true};
  };
  const std::string gates[] = {subject.Addresses()[1], subject.Addresses()[2]};
  const catkinmoor::scripted_target targets[] = {{gates[0], respond}, {gates[1], respond}};
  Require(subject.PutDocument(entry, SlotboardDocument(20'000), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(entry, 2);
  auto running =
      std::async(std::launch::async, [&] { return subject.SendToEntry(entry, "GET", "/slots"); });
  WaitUntil("a target to receive the request", [&] { return requests == 1; });
  const std::string paused = targets[0].Requests() == 1 ? gates[0] : gates[1];
  subject.SignalDaemon(paused, SIGSTOP);
  WaitUntil("the other target to receive the request", [&] { return requests == 2; });
  first_done = true;
  subject.SignalDaemon(paused, SIGCONT);
  const auto response = running.get();
  second_done = true;
  Require(response.status == 200 && response.body == "first",
          std::to_string(response.status) + " " + response.body);
}

Test(serving, at_an_entry_that_stops_under_load_aborts_no_accepted_request) {
  fleet subject({.subnet = 40, .vms = 2});
  StartServing(subject);
  auto settings = subject.LoadSettings(6, 4);
  settings.mix = {1, 1, 1};
  settings.download_bytes = 3'000'000;
  settings.requests_per_s = 100;
  settings.entries = {settings.entries.back()};
  auto pending_load = std::async(std::launch::async, RunLoad, settings);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  subject.SignalDaemon(subject.Addresses().back(), SIGTERM);
  Require(subject.WaitForDaemonExit(subject.Addresses().back()) == 0);
  pending_load.get();
  const auto report = subject.CheckAllLedgers();
  Require(report.HasNoViolations());
  // Afterwards callers cannot connect to the entry, but no request that it had accepted was lost.
  Require(report.unknown == 0);
}

Test(serving, with_a_target_leaving_sends_it_no_new_request_from_any_daemon) {
  fleet subject({.subnet = 44, .regions = 2, .vms = 2});
  StartServing(subject);
  const std::string leaving = subject.Addresses().front();
  subject.SignalTarget(leaving, SIGTERM);
  Require(subject.WaitForTargetExit(leaving) == 0);
  for (const std::string& each : subject.Addresses()) subject.AwaitTargets(each, 3);
  const std::size_t before = subject.CountInTargetLedgers("\"path\":\"/after\"");
  for (const std::string& each : subject.Addresses()) {
    for (int i = 0; i < 10; ++i) Require(subject.SendToEntry(each, "GET", "/after").status == 200);
  }
  Require(subject.CountInTargetLedgers("\"path\":\"/after\"") == before + 40);
}

Test(serving, with_a_target_replaced_by_one_of_another_service_sends_it_nothing) {
  fleet subject({.subnet = 48, .vms = 2});
  StartServing(subject);
  const std::string replaced = subject.Addresses()[1];
  subject.SignalTarget(replaced, SIGKILL);
  subject.StartTarget(replaced, "bookdesk");
  subject.AwaitTargets(subject.Addresses().front(), 1, "bookdesk");
  for (int i = 0; i < 40; ++i) {
    Require(subject.SendToEntry(subject.Addresses()[i % 2], "POST", "/holds/x").status == 200);
  }
  Require(subject.CountInTargetLedgers("\"service\":\"bookdesk\"") == 0);
}

Test(serving, without_any_target_reports_not_run) {
  fleet subject({.subnet = 52, .vms = 1, .start_targets = false});
  subject.Start();
  subject.PutDocument(subject.Addresses().front(), SlotboardDocument(), 0);
  subject.AwaitInForceEverywhere(1);
  const auto response = subject.SendToEntry(subject.Addresses().front(), "POST", "/holds/1");
  Require(response.status == 503);
  Require(HeaderValue(response.headers, "x-catkinmoor-outcome") == "not-run");
}

Test(serving, of_calls_nested_too_deeply_rejects_them_at_the_depth_limit) {
  fleet subject({.subnet = 56, .vms = 1});
  StartServing(subject);
  std::string path = "/slots";
  for (int i = 0; i < 8; ++i) path.insert(0, "/call/slotboard");
  const auto response = subject.SendToEntry(subject.Addresses().front(), "GET", path);
  Require(response.status == 508);
  Require(subject.CountInTargetLedgers("\"service\":\"slotboard\"") == 6);
}

Test(serving, of_a_request_that_crashes_targets_loses_two_at_most) {
  fleet subject({.subnet = 128,
                 .regions = 2,
                 .vms = 3,
                 .extra_target_settings = R"(, "crash_path": "/poison")"});
  StartServing(subject);
  for (int round = 0; round < 3; ++round) {
    for (const std::string& each : subject.Addresses()) subject.SendToEntry(each, "GET", "/poison");
  }
  const std::size_t lost = subject.CountInTargetLedgers("\"path\":\"/poison\"");
  Require(lost == 2, "lost " + std::to_string(lost));
  const auto refused = subject.SendToEntry(subject.Addresses().front(), "GET", "/poison");
  Require(HeaderValue(refused.headers, "x-catkinmoor-outcome") == "not-run");
  Require(HeaderValue(refused.headers, "x-catkinmoor-reason") == "quarantined");
  // Other requests are still served by the remaining targets.
  for (const std::string& each : subject.Addresses()) {
    Require(subject.SendToEntry(each, "GET", "/slots").status == 200);
  }
}

Test(serving, of_a_request_released_from_quarantine_forwards_it_again) {
  fleet subject({.subnet = 132, .vms = 3, .extra_target_settings = R"(, "crash_path": "/poison")"});
  StartServing(subject);
  const std::string& entry = subject.Addresses().front();
  for (int i = 0; i < 3; ++i) subject.SendToEntry(entry, "GET", "/poison");
  const std::string listed = subject.SendToAdministration(entry, "GET", "/v1/quarantine").body;
  const auto begin = listed.find("\"fingerprint\":\"") + 15;
  const std::string fingerprint = listed.substr(begin, listed.find('"', begin) - begin);
  Require(subject.SendToAdministration(entry, "DELETE", "/v1/quarantine/" + fingerprint).status ==
          200);
  subject.SendToEntry(entry, "GET", "/poison");
  Require(subject.CountInTargetLedgers("\"path\":\"/poison\"") == 3);
}

Test(serving, of_downloads_whose_targets_are_killed_resumes_them_from_others) {
  fleet subject({.subnet = 164, .vms = 4});
  StartServing(subject);
  auto settings = subject.LoadSettings(7, 4);
  settings.mix = {0, 0, 1};
  settings.download_bytes = 20'000'000;
  settings.requests_per_s = 0;
  settings.callers = 4;
  auto pending_load = std::async(std::launch::async, RunLoad, settings);
  for (int round = 0; round < 5; ++round) {
    const std::string address = subject.Addresses()[round % 4];
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    subject.SignalTarget(address, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    subject.StartTarget(address);
  }
  const load_report report = pending_load.get();
  Require(Count(report, "answered") > 20);
  Require(Count(report, "wrong") == 0);
  Require(Count(report, "broken") == 0, std::to_string(Count(report, "broken")) + " broken");
}
