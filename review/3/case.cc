// A late heartbeat of a backend that has deregistered, after all daemons were killed.
// Usage: case COMMAND DIRECTORY RECORD
#include "../lib/standin.h"

using namespace standin;

namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

constexpr int kEntry = 1;
constexpr int kLeaving = 2;
constexpr int kSlots = 4;
constexpr int kDeadlineMs = 4'000;
constexpr int kClients = 4;
constexpr double kDrain = 2;
constexpr double kStable = 3;
/// How late the heartbeat arrives that was sent just before the deregistration.
constexpr double kBeatDelay = 5;

int Run(deployment& system) {
  if (!system.StartStore()) return kCouldNotRun;
  const std::map<int, std::string> services = {
      {1, "front"}, {2, "desk"}, {3, "front"}, {4, "desk"}};
  system.Store().Write("op", "config",
                       R"({"version":"00000001","resources":[)" +
                           Route("read", "/read/", "safe", "2s", "desk") + "," +
                           Route("book", "/book/", "unsafe", "2s", "desk") + "," +
                           Service("front") + "," + Service("desk") + "]}");
  for (const auto& [machine, service] : services) {
    if (!system.StartBackend(machine, service, kSlots)) return kCouldNotRun;
    system.StartDaemon(machine);
  }
  const auto all_ready = [&] {
    for (const auto& [machine, service] : services) {
      if (system.Readiness(machine) != 200) return false;
    }
    return true;
  };
  const std::string entry = system.Address(kEntry);
  int successes = 0;
  while (successes < 20) {
    if (Seconds() > 30) return kCouldNotRun;
    const bool served =
        all_ready() && SendRequest(entry, "POST", "/book/?work=50", kDeadlineMs).status == 200;
    successes = served ? successes + 1 : 0;
    if (!served) SleepFor(0.2);
  }
  SleepFor(kStable + 1);

  // The backend sends a heartbeat that is late, and deregisters without reporting draining. It goes
  // on serving for longer than `drain`.
  backend& leaving = system.Backend(kLeaving);
  leaving.StopHeartbeats();
  SleepFor(1.6);
  const std::int64_t late_sequence = leaving.Sequence() + 1;
  const double beat_sent = Seconds();
  the_record.Add("backend " + leaving.Instance() + " sends the heartbeat that will be late");
  SleepFor(0.1);
  if (leaving.Deregister() != 200) return kCouldNotRun;
  const double acknowledged = Seconds();
  the_record.Add("deregistration of " + leaving.Instance() + " acknowledged");
  SleepFor(0.3);

  if (Troubled()) {
    for (const auto& [machine, service] : services) system.Kill(machine);
    SleepFor(0.5);
    for (const auto& [machine, service] : services) system.StartDaemon(machine);
  }
  const double started = Seconds();
  while (!all_ready()) {
    if (Seconds() > started + 3) return kCouldNotRun;
    SleepFor(0.05);
  }
  SleepUntil(std::max(beat_sent + kBeatDelay, started + kStable + 0.2));
  const double arrived = Seconds();
  the_record.Add("the late heartbeat arrives, answered " +
                 std::to_string(leaving.SendHeartbeat(late_sequence)));
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&entry] {
      for (int i = 0; i < 10; ++i) {
        const bool books = i % 2 == 0;
        SendRequest(entry, books ? "POST" : "GET", books ? "/book/?work=150" : "/read/?work=150",
                    kDeadlineMs);
      }
    });
  }
  for (std::thread& each : clients) each.join();

  // DRAIN: a request reaches the backend later than `drain` after the acknowledgement, through
  // machines that have been in touch since before the late heartbeat arrived.
  const auto runs = the_runs.At(leaving.Instance(), acknowledged + kDrain);
  for (const auto& [id, each] : runs) {
    char text[160];
    std::snprintf(text, sizeof(text),
                  "DRAIN: request %s reached the backend %.3f s after the acknowledgement, %.3f s "
                  "after the start of the daemons",
                  id.c_str(), each.begin - acknowledged, each.begin - started);
    the_record.Add(text);
  }
  char text[120];
  std::snprintf(text, sizeof(text), "heartbeat %.3f s late; %zu requests reached the backend",
                arrived - beat_sent, runs.size());
  the_record.Add(text);
  return runs.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
