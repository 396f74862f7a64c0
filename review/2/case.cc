// Requests that wait in a gate's queue while the daemon that took them is stopped.
// Usage: case COMMAND DIRECTORY RECORD
#include "../lib/standin.h"

using namespace standin;

namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

constexpr int kEntry = 1;
constexpr int kSlots = 3;
constexpr int kDeadlineMs = 4'000;
constexpr double kGrace = 6;
constexpr double kLossSlack = 0.2;
/// Work of the requests that hold the slots.
constexpr int kLongWorkMs = 3'900;
constexpr int kShortWorkMs = 50;
constexpr int kWaiting = 6;

int Run(deployment& system) {
  if (!system.StartStore()) return kCouldNotRun;
  const std::map<int, std::string> services = {
      {1, "front"}, {2, "desk"}, {3, "front"}, {4, "desk"}};
  system.Store().Write("op", "config",
                       R"({"version":"00000001","resources":[)" +
                           Route("read", "/read/", "safe", "4s", "desk") + "," +
                           Route("book", "/book/", "unsafe", "4s", "desk") + "," +
                           Service("front") + "," + Service("desk") + "]}");
  for (const auto& [machine, service] : services) {
    if (!system.StartBackend(machine, service, kSlots)) return kCouldNotRun;
    system.StartDaemon(machine);
  }
  const std::string entry = system.Address(kEntry);
  // In service: every daemon is ready, and twenty requests in a row succeed.
  int successes = 0;
  while (successes < 20) {
    if (Seconds() > 30) return kCouldNotRun;
    bool ready = true;
    for (const auto& [machine, service] : services) ready &= system.Readiness(machine) == 200;
    const bool served =
        ready && SendRequest(entry, "POST", "/book/?work=50", kDeadlineMs).status == 200;
    successes = served ? successes + 1 : 0;
    if (!served) SleepFor(0.2);
  }
  SleepFor(4);  // longer than `stable`

  const double stopped = Seconds();
  if (Troubled()) system.Signal(kEntry, SIGTERM);
  std::vector<client_request> sent;
  std::mutex mutex;
  std::vector<std::thread> clients;
  const auto send = [&](const std::string& method, const std::string& target, int work) {
    clients.emplace_back([&, method, target, work] {
      auto made = SendRequest(entry, method, target + "?work=" + std::to_string(work), kDeadlineMs);
      const std::lock_guard<std::mutex> lock(mutex);
      sent.push_back(std::move(made));
    });
  };
  // The platform asks for readiness once a second. Two misses, and so up to two seconds, pass
  // before the clients of a machine stop.
  SleepUntil(stopped + 1.6);
  for (int i = 0; i < 3 * kSlots; ++i) {
    send("POST", "/book/", kLongWorkMs);
    SleepFor(0.01);
  }
  SleepUntil(stopped + 1.85);
  for (int i = 0; i < kWaiting; ++i) {
    send(i % 2 == 0 ? "POST" : "GET", i % 2 == 0 ? "/book/" : "/read/", kShortWorkMs);
  }
  for (std::thread& each : clients) each.join();
  if (Troubled()) {
    while (!system.HasEnded(kEntry) && Seconds() < stopped + kGrace + 1) SleepFor(0.02);
  }

  // LOST: read whole, and the connection ends without a complete answer later than lossSlack,
  // before the deadline and the route's timeout (both 4 s). A request that a backend has run is not
  // counted here, as the rule excuses some of them.
  int lost = 0;
  for (const client_request& each : sent) {
    const bool cut = each.connected && each.status == 0 && !each.deadline_passed;
    const bool late = each.ended - each.sent > kLossSlack;
    const bool in_window = each.ended < stopped + kGrace + 1;
    if (!cut || !late || !in_window || !the_runs.Of(each.id).empty()) continue;
    ++lost;
    char text[200];
    std::snprintf(text, sizeof(text),
                  "LOST: request %s sent %.3f s after the SIGTERM, connection ended without an "
                  "answer %.3f s after it, deadline %.3f s after it, no backend ran it",
                  each.id.c_str(), each.sent - stopped, each.ended - stopped,
                  each.deadline - stopped);
    the_record.Add(text);
  }
  the_record.Add(std::to_string(sent.size()) + " requests sent, " + std::to_string(lost) + " lost");
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
