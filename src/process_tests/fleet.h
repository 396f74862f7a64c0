#pragma once

#include <sys/types.h>

#include <boost/assert/source_location.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/http/message.h"
#include "load/ledger_check.h"
#include "load/load_runner.h"

namespace catkinmoor {

/// Size and settings of a test's fleet. The subnet separates the fleets of different tests: vm K of
/// data centre D in region R has the address 127.(subnet + R).D.K. `data_centres` counts those
/// of each region and `vms` those of each data centre. The extra settings are JSON text that is
/// appended to the settings of each target or daemon.
struct fleet_options {
  int subnet = 10;
  int regions = 1;
  int data_centres = 1;
  int vms = 2;
  std::string extra_target_settings;
  std::string extra_daemon_settings;
  bool start_targets = true;
  bool start_links = false;
};

/// A small fleet of real processes for a test: a platform stand-in, and on each vm a daemon and a
/// target. Every wait is for an event, and fails the test when the event does not occur within
/// kAwaitTimeout. The destructor kills all processes.
class fleet {
 public:
  explicit fleet(fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts all processes, and waits until every daemon is ready and knows all members and targets.
  void Start();

  const std::vector<std::string>& Addresses() const { return addresses_; }

  void StartPlatform();
  void StartDaemon(const std::string& address);
  void StartTarget(const std::string& address, const std::string& service = "slotboard");
  void AwaitReady(const std::string& address);
  /// The highest port on which a link stand-in listens.
  int MaxLinkPort() const;
  void AwaitMembers(const std::string& address, std::size_t count);
  bool IsReady(const std::string& address) const;

  /// Sends a signal to a daemon or target.
  void SignalDaemon(const std::string& address, int signal);
  void SignalTarget(const std::string& address, int signal);

  /// Waits for a daemon or target to terminate. Returns its exit code, or the negated number of the
  /// signal that ended it.
  int WaitForDaemonExit(const std::string& address);
  int WaitForTargetExit(const std::string& address);

  /// The process of a running daemon.
  pid_t DaemonProcess(const std::string& address) const { return daemon_processes_.at(address); }

  /// All that a daemon has written to its log so far.
  std::string DaemonLog(const std::string& address) const;

  /// Sets the faults that the platform stand-in injects.
  void SetFaults(const std::string& json);
  std::uint64_t PlatformReads() const;

  /// Sends a command to the link stand-in of a region: cut, freeze, silence or heal. Requires
  /// start_links.
  void ControlLink(int region, const std::string& command);

  /// Puts the slotboard document through one daemon, expecting the version given to be the latest.
  http::response PutDocument(const std::string& address, const std::string& text,
                             std::uint64_t expect, const std::string& change_id = "");

  /// The version of a service's document that is in force at a daemon; 0 if there is none.
  std::uint64_t VersionInForce(const std::string& address,
                               const std::string& service = "slotboard") const;
  void AwaitInForce(const std::string& address, std::uint64_t version);
  void AwaitInForceEverywhere(std::uint64_t version);

  /// Sends a request to a daemon's administration interface. The status is 0 if the call failed.
  http::response SendToAdministration(const std::string& address, const std::string& method,
                                      const std::string& target,
                                      const std::string& body = "") const;

  /// Sends a request to a daemon's entry. The status is 0 if the call failed.
  http::response SendToEntry(const std::string& address, const std::string& method,
                             const std::string& target, const std::string& service = "slotboard",
                             const http::header_map& headers = {}) const;

  /// Waits until a daemon knows exactly `count` ready targets of a service.
  void AwaitTargets(const std::string& address, std::size_t count,
                    const std::string& service = "slotboard");
  std::size_t CountReadyTargets(const std::string& address, const std::string& service) const;

  /// Settings of a load on all entries, with a caller ledger in the fleet's directory.
  load_settings LoadSettings(std::uint64_t seed, double seconds);

  /// Compares all caller and target ledgers written so far.
  ledger_report CheckAllLedgers() const;

  /// Number of occurrences of a text in all target ledgers.
  std::size_t CountInTargetLedgers(const std::string& text) const;

  const std::string& Directory() const { return directory_; }

 private:
  struct location {
    std::string region;
    std::string data_centre;
  };

  std::string LinkRules(const std::string& address) const;
  void StartLinks();
  std::string LinkControlAddress(int region) const;

  /// The links of region R listen R times this offset above the ports that they forward to. All
  /// must stay below the ephemeral port range: an outgoing connection may occupy any port in it.
  static constexpr int kLinkPortOffset = 3'000;
  pid_t Spawn(const std::vector<std::string>& arguments, const std::string& log) const;
  void WriteDaemonSettings(const std::string& address);
  void WriteTargetSettings(const std::string& address, const std::string& service);
  std::string PlatformAddress() const;
  std::vector<std::string> ReadFiles(const std::string& extension) const;

  fleet_options options_;
  std::string directory_;
  std::vector<std::string> addresses_;
  std::map<std::string, location> locations_;
  pid_t platform_process_ = 0;
  std::vector<pid_t> link_processes_;
  std::map<std::string, pid_t> daemon_processes_;
  std::map<std::string, pid_t> target_processes_;
};

/// A document of service slotboard. The deadline of its browse route distinguishes versions.
std::string SlotboardDocument(std::int64_t browse_deadline_ms = 3'000,
                              const std::string& extra_routes = "");

/// Waits until a condition holds; fails the test when it does not within kAwaitTimeout.
template <typename Condition>
void WaitUntil(const char* event, Condition&& condition);

/// Fails the test with a message.
[[noreturn]] void FailTest(const std::string& message);

/// Fails the test, with the source location, unless a condition holds. Unlike the test library's
/// own checks it throws, so that the fleet's destructor runs and ends the processes.
void Require(bool holds, const std::string& message = "",
             boost::source_location place = BOOST_CURRENT_LOCATION);

/// Starts a program whose output is appended to a file. Fails the test if it cannot be started.
pid_t SpawnProcess(const std::vector<std::string>& arguments, const std::string& log_path);

/// Waits for a process to terminate. Returns its exit code, or the negated number of the signal
/// that ended it.
int WaitForProcessExit(pid_t process);

void SleepBetweenPolls();

inline constexpr milliseconds kAwaitTimeout{30'000};

template <typename Condition>
void WaitUntil(const char* event, Condition&& condition) {
  const time_point deadline = Now() + kAwaitTimeout;
  while (!condition()) {
    if (Now() > deadline) FailTest(std::string("timed out waiting for ") + event);
    SleepBetweenPolls();
  }
}

}  // namespace catkinmoor
