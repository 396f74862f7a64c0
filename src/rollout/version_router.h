#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "membership/member.h"
#include "rollout/rollout_board.h"

namespace catkinmoor {

/// How an attempt at a target ended, as evidence on its version.
enum class evidence_outcome {
  kSuccess,
  kFailure,  ///< Status 5xx, or a broken or lost response.
  kNotRun,   ///< Says nothing about the version.
};

/// Decides which versions of a service an entry may send a request to while the service is rolled
/// out, and counts what the targets respond. Thread-safe.
class version_router {
 public:
  using clock = std::function<time_point()>;

  /// Time without news of the conductor after which other versions are used as long as they have
  /// targets. The conductor repeats its state several times in it.
  static constexpr milliseconds kMaxSilence{2'000};
  /// Time after the end of a rollout in which other versions get nothing even if the ordered one
  /// has no targets. They stop at that time, and their announcements may be stale.
  static constexpr milliseconds kFinalGrace{30'000};

  /// The clock must count the time of a suspension, and be that of the board.
  version_router(const rollout_board& board, std::string region, clock now, std::uint64_t seed,
                 milliseconds max_silence = kMaxSilence);

  /// The silence after which an entry that was cut off has stopped to use a version in time for
  /// the bound on rolling back, with a reserve for the verdict.
  static milliseconds MaxSilenceFor(const rollout_bounds& bounds) {
    return std::min(kMaxSilence, bounds.rollback * 2 / 5);
  }

  /// Whether any rollout has been heard of; the other functions have no effect before.
  bool IsActive() const { return !board_.IsEmpty(); }

  /// The targets that an attempt may use. A first attempt may be sent to the ordered version, which
  /// takes one of the grants while the version is unproven. A retry is not, unless the version gets
  /// all requests.
  std::vector<member_ptr> Restrict(const std::string& service, bool first_attempt,
                                   std::vector<member_ptr> eligible);

  /// Records an attempt from its start to the end of its response.
  class attempt {
   public:
    attempt() = default;
    attempt(version_router& owner, std::string service, std::string route, const member_record& to,
            std::uint64_t wall_ms);
    attempt(attempt&& other) noexcept;
    attempt& operator=(attempt&&) = delete;
    ~attempt();

    /// Records the outcome and the time until the header of the response.
    void OnOutcome(evidence_outcome outcome, milliseconds took);

   private:
    version_router* owner_ = nullptr;
    std::string service_;
    std::string route_;
    std::string version_;
    bool other_region_ = false;
    bool cold_ = false;
  };

  /// Time between the reports of an entry. Shorter while the version gets much, and longer in a
  /// large fleet, whose conductor would otherwise be overloaded.
  static milliseconds ReportInterval(rollout_phase phase, std::size_t entries);

  /// The next report on a service to its conductor; nothing if no rollout of it is running.
  std::optional<rollout_report> MakeReport(const std::string& service);

  /// Whether a report is due before the usual time, because the phase has changed. Failures are no
  /// reason: if they were reported before successes, the evidence would be biased.
  bool IsReportUrgent(const std::string& service);

  /// Whether anything has changed since the last report.
  bool HasNews(const std::string& service);

  /// Records that a report did not arrive, so that another one is due.
  void OnReportLost(const std::string& service);

  /// Takes over the grants of a reply. The state in it goes to the board.
  void OnReply(const std::string& service, std::uint64_t order, const rollout_report_reply& reply);

 private:
  struct route_key {
    std::string route;
    bool ordered = false;
    friend auto operator<=>(const route_key&, const route_key&) = default;
  };
  struct service_record {
    std::uint64_t order = 0;
    std::map<route_key, version_figures> figures;
    std::map<std::string, std::uint64_t> in_flight;
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    std::uint64_t epoch = 0;
    std::uint64_t granted = 0;
    std::uint64_t used = 0;
    std::uint64_t returned = 0;
    time_point granted_at{};
    /// Whether this entry has confirmed that it sends nothing to other versions any more.
    bool closed = false;
    std::uint64_t number = 0;
    std::uint64_t changes = 0;
    std::uint64_t reported_changes = 0;
    rollout_phase reported_phase = rollout_phase::kOrdered;
    std::uint64_t reported_epoch = 0;
  };

  service_record& RecordFor(const held_rollout& held);
  double ShareFor(service_record& record, const held_rollout& held, time_point now);
  bool Draw(service_record& record, const held_rollout& held, double share);
  std::vector<member_ptr> Concentrate(std::vector<member_ptr> targets, double fraction) const;
  void Begin(const std::string& service, const std::string& version);
  void End(const std::string& service, const std::string& version);
  void Count(const std::string& service, const std::string& route, const std::string& version,
             evidence_outcome outcome, std::optional<milliseconds> took);

  const rollout_board& board_;
  std::string region_;
  clock now_;
  milliseconds max_silence_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, service_record> services_;
};

}  // namespace catkinmoor
