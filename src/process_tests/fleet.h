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

/// Shape of a fleet for a test. The subnet keeps fleets of different tests apart: the vm K of data
/// centre D in region R has the address 127.(subnet + R).D.K.
struct fleet_shape {
  int subnet = 10;
  int regions = 1;
  int data_centres = 1;
  int vms = 2;
  std::string target_extra;
  std::string daemon_extra;
  bool targets = true;
  bool links = false;
};

/// A small fleet of real processes for a test: a platform stand-in, and on each vm a daemon and a
/// target. Every wait is for an event and fails the test when it does not come within a generous
/// limit. All processes are killed at the end of its life.
class fleet {
 public:
  explicit fleet(fleet_shape shape);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts everything and waits until every daemon is ready.
  void Start();

  const std::vector<std::string>& Addresses() const { return addresses_; }

  void StartPlatform();
  void StartDaemon(const std::string& address);
  void StartTarget(const std::string& address, const std::string& service = "slotboard");
  void AwaitReady(const std::string& address);
  /// The highest port on which a link listens.
  int HighestLinkPort() const;
  void AwaitMembers(const std::string& address, std::size_t count);
  bool IsReady(const std::string& address) const;

  /// Sends a signal to a daemon or target.
  void SignalDaemon(const std::string& address, int signal);
  void SignalTarget(const std::string& address, int signal);

  /// Waits for the end of a daemon or target and yields its exit code, or -signal.
  int AwaitDaemonEnd(const std::string& address);
  int AwaitTargetEnd(const std::string& address);

  /// Sets the faults of the platform stand-in.
  void SetFaults(const std::string& json);
  std::uint64_t PlatformReads() const;

  /// Tells the link stand-in of a region what to do: cut, freeze, silence or heal. Needs links.
  void ControlLink(int region, const std::string& what);

  /// Puts a document through one daemon. Yields the answer.
  http::reply Put(const std::string& address, const std::string& text, std::uint64_t expect,
                  const std::string& change_id = "");

  /// The version in force at a daemon, 0 for none.
  std::uint64_t InForce(const std::string& address, const std::string& service = "slotboard") const;
  void AwaitInForce(const std::string& address, std::uint64_t version);
  void AwaitInForceEverywhere(std::uint64_t version);

  /// An answer of a daemon's administration interface.
  http::reply Administration(const std::string& address, const std::string& method,
                             const std::string& target, const std::string& body = "") const;

  /// A request to a daemon's entry. The status is 0 when the connection broke.
  http::reply Request(const std::string& address, const std::string& method,
                      const std::string& target, const std::string& service = "slotboard",
                      const http::header_map& headers = {}) const;

  /// Waits until a daemon knows so many ready targets of a service.
  void AwaitTargets(const std::string& address, std::size_t count,
                    const std::string& service = "slotboard");
  std::size_t KnownTargets(const std::string& address, const std::string& service) const;

  /// Settings of a load on all entries, with a ledger in the fleet's folder.
  load_settings Load(std::uint64_t seed, double seconds);

  /// Compares all ledgers written so far.
  ledger_report Check() const;

  /// Lines of all target ledgers that hold a text.
  std::size_t CountRuns(const std::string& text) const;

  const std::string& Folder() const { return folder_; }

 private:
  struct place {
    std::string region;
    std::string data_centre;
  };

  std::string LinkRules(const std::string& address) const;
  void StartLinks();
  std::string LinkControl(int region) const;

  /// Each region's links listen this much above the ports that they lead to. All must stay below
  /// the ports that the system gives to outgoing connections.
  static constexpr int kLinkOffset = 3'000;
  pid_t Spawn(const std::vector<std::string>& arguments, const std::string& log) const;
  void WriteDaemonSettings(const std::string& address);
  void WriteTargetSettings(const std::string& address, const std::string& service);
  std::string PlatformAddress() const;
  std::vector<std::string> ReadFiles(const std::string& ending) const;

  fleet_shape shape_;
  std::string folder_;
  std::vector<std::string> addresses_;
  std::map<std::string, place> places_;
  pid_t platform_ = 0;
  std::vector<pid_t> links_;
  std::map<std::string, pid_t> daemons_;
  std::map<std::string, pid_t> targets_;
};

/// A document of slotboard in which the deadline of browsing tells versions apart.
std::string SlotboardDocument(std::int64_t browse_deadline_ms = 3'000,
                              const std::string& extra_routes = "");

/// Waits until a condition holds; fails the test when it does not within the limit.
template <typename Condition>
void Await(const char* what, Condition&& condition);

/// Fails the test with a message.
[[noreturn]] void FailTest(const std::string& message);

/// Fails the test, with its place, unless a condition holds. Unlike the test library's own checks
/// it unwinds, so that the fleet's processes end with the test.
void Expect(bool holds, const std::string& message = "",
            boost::source_location place = BOOST_CURRENT_LOCATION);

/// Starts a program with its output going to a file. Fails the test when it cannot be started.
pid_t SpawnProcess(const std::vector<std::string>& arguments, const std::string& log_path);

/// Waits for the end of a process and yields its exit code, or -signal.
int AwaitProcessEnd(pid_t process);

/// Sleeps between looks at a condition.
void PauseBetweenLooks();

inline constexpr milliseconds kAwaitLimit{30'000};

template <typename Condition>
void Await(const char* what, Condition&& condition) {
  const time_point end = Now() + kAwaitLimit;
  while (!condition()) {
    if (Now() > end) FailTest(std::string("waited in vain for ") + what);
    PauseBetweenLooks();
  }
}

}  // namespace catkinmoor
