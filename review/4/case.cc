// Configurations in quick succession while the only other daemon of a zone is frozen.
// Usage: case COMMAND DIRECTORY RECORD
#include "../lib/standin.h"

using namespace standin;

namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

constexpr int kEntry = 1;
constexpr int kFrozen = 2;
constexpr int kDesk = 3;
constexpr int kTill = 4;
constexpr int kRounds = 6;
constexpr int kSlots = 4;
constexpr int kDeadlineMs = 4'000;
constexpr double kStable = 3;
constexpr double kConfigApply = 2;
constexpr double kFreeze = 4;
constexpr double kStorm = 5;
constexpr double kStormGap = 0.18;

/// A configuration in which a service has the bookings, with some routes that nobody uses.
std::string Configuration(int version, const std::string& bookings_to) {
  char digits[9];
  std::snprintf(digits, sizeof(digits), "%08x", static_cast<unsigned>(version));
  std::string text = std::string(R"({"version":")") + digits + R"(","resources":[)" +
                     Route("book", "/book/", "unsafe", "2s", bookings_to);
  for (int i = std::max(2, version - 40); i <= version; ++i) {
    const std::string number = std::to_string(i);
    text += "," + Route("idle-" + number, "/idle" + number + "/", "safe", "2s", "front");
  }
  return text + "," + Service("front") + "," + Service("desk") + "," + Service("till") + "]}";
}

/// Freezes the neighbour of the entry, moves the bookings and goes on with further versions.
/// Returns the number of requests that break the rule.
int RunRound(deployment& system, const std::string& entry, int& version, bool to_till) {
  const std::string bookings_to = to_till ? "till" : "desk";
  const std::string old_instance = system.Backend(to_till ? kDesk : kTill).Instance();
  const double begin = Seconds();
  if (Troubled()) system.Signal(kFrozen, SIGSTOP);
  system.Store().Write("op", "config", Configuration(++version, bookings_to));
  const double acknowledged = Seconds();
  const std::string moved = std::to_string(version);
  the_record.Add("version " + moved + " acknowledged: bookings go to " + bookings_to);
  std::thread storm([&] {
    while (Seconds() < begin + kStorm) {
      SleepFor(kStormGap);
      system.Store().Write("op", "config", Configuration(++version, bookings_to));
      the_record.Add("version " + std::to_string(version) + " acknowledged");
    }
  });
  std::thread thaw([&] {
    SleepUntil(begin + kFreeze);
    if (Troubled()) system.Signal(kFrozen, SIGCONT);
  });
  std::vector<client_request> sent;
  while (Seconds() < begin + kStorm + 1) {
    sent.push_back(SendRequest(entry, "POST", "/book/?work=20", kDeadlineMs));
    SleepFor(0.02);
  }
  storm.join();
  thaw.join();

  // CONFIG: sent later than configApply after the acknowledgement, and run by the old service.
  int broken = 0;
  for (const client_request& each : sent) {
    if (each.sent <= acknowledged + kConfigApply) continue;
    for (const run& made : the_runs.Of(each.id)) {
      if (made.instance != old_instance) continue;
      ++broken;
      char text[200];
      std::snprintf(
          text, sizeof(text),
          "CONFIG: request %s sent %.3f s after the acknowledgement of version %s was run "
          "by %s",
          each.id.c_str(), each.sent - acknowledged, moved.c_str(), to_till ? "desk" : "till");
      the_record.Add(text);
    }
  }
  return broken;
}

int Run(deployment& system) {
  if (!system.StartStore()) return kCouldNotRun;
  system.UseZonesOfTwo();
  const std::map<int, std::string> services = {
      {1, "front"}, {2, "front"}, {3, "desk"}, {4, "till"}};
  system.Store().Write("op", "config", Configuration(1, "desk"));
  for (const auto& [machine, service] : services) {
    if (!system.StartBackend(machine, service, kSlots)) return kCouldNotRun;
    system.StartDaemon(machine);
  }
  const std::string entry = system.Address(kEntry);
  int successes = 0;
  while (successes < 20) {
    if (Seconds() > 30) return kCouldNotRun;
    bool ready = true;
    for (const auto& [machine, service] : services) ready &= system.Readiness(machine) == 200;
    const bool served =
        ready && SendRequest(entry, "POST", "/book/?work=20", kDeadlineMs).status == 200;
    successes = served ? successes + 1 : 0;
    if (!served) SleepFor(0.2);
  }
  SleepFor(kStable + 1);

  int version = 1;
  int broken = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const bool to_till = round % 2 == 1;
    broken += RunRound(system, entry, version, to_till);
    SleepFor(kStable + 1);
  }
  the_record.Add(std::to_string(broken) + " requests run by the old service");
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
