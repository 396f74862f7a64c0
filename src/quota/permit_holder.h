#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "quota/permit_messages.h"
#include "quota/quota_settings.h"

namespace catkinmoor {

/// A permit that a request has taken.
struct permit {
  std::string workspace;
  std::string authority;
  std::uint64_t epoch = 0;
  std::uint64_t grant = 0;
};

/// Why a request gets no permit now.
struct permit_refusal {
  enum class cause {
    kPending,     ///< An ask is in progress or due; its answer may bring one.
    kOverLimit,   ///< The authority said that the workspace is over its limit.
    kNoAuthority  ///< No authority answers, or it cannot tell yet.
  };
  cause why = cause::kNoAuthority;
  milliseconds retry_after{0};
};

/// The permits of a daemon: decides what to ask the authority for, when, and which requests may
/// run. Not thread-safe; the caller passes the time.
class permit_holder {
 public:
  permit_holder(std::string vm, std::uint64_t incarnation)
      : vm_(std::move(vm)), incarnation_(incarnation) {}

  /// Names the authority to ask; an empty vm if none is known, epoch 0 for a daemon that is asked
  /// who the authority is.
  void SetAuthority(const std::string& vm, std::uint64_t epoch);
  const std::string& AuthorityVm() const { return authority_; }
  std::uint64_t AuthorityEpoch() const { return epoch_; }

  /// Sets how many daemons share the authority, on which the distance between asks depends.
  void SetDaemonCount(std::size_t count);

  /// Counts a request that has arrived, for the estimate of the demand.
  void OnRequest(const std::string& workspace, boot_time_point now);

  /// Takes a permit for a request that has been counted. The permit counts as used from now on: the
  /// limit is on requests that are both sent and run in a window, and each was sent before.
  std::variant<permit, permit_refusal> Take(const std::string& workspace, boot_time_point now);

  /// Counts the requests that wait for a permit, so that one is asked for each.
  void BeginWait(const std::string& workspace) { ++workspaces_[workspace].waiting; }
  void EndWait(const std::string& workspace) { --workspaces_[workspace].waiting; }

  /// Settles a permit whose request has ended. It is given back if the request has not run and the
  /// use has not been reported yet.
  void Settle(const permit& taken, bool may_have_run);

  /// Time at which the next ask is due. None while one is in progress, or if there is nothing to
  /// ask or report.
  std::optional<boot_time_point> NextAskAt(boot_time_point now) const;

  /// Builds the next ask. One at a time is in progress, until its reply or failure.
  permit_ask BeginAsk(boot_time_point now);

  void OnReply(const permit_reply& reply, boot_time_point now);
  void OnAskFailed();

  /// Asks in a row that were not answered with grants.
  int Failures() const { return failures_; }

  /// Time since the last answer of an authority; none if there was none.
  std::optional<milliseconds> AnswerAge(boot_time_point now) const;

  /// Number of permits that can be taken.
  std::size_t FreePermits(boot_time_point now) const;

 private:
  struct held_grant {
    std::string authority;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    boot_time_point ends;
    std::uint32_t free = 0;
    /// Taken by requests and not reported yet.
    std::uint32_t used = 0;
  };

  struct holding {
    std::deque<held_grant> grants;
    /// Estimate of the requests per second, as of demand_at.
    double demand = 0;
    boot_time_point demand_at;
    int waiting = 0;
    milliseconds ahead{300};
    /// Until then nothing is asked, since the authority has just granted nothing.
    boot_time_point refused_until;
    bool over_limit = false;
  };

  static double Demand(const holding& of, boot_time_point now);
  static double Target(const holding& of, boot_time_point now);
  static std::uint32_t Free(const holding& of, boot_time_point now);
  static bool IsUrgent(const holding& of, boot_time_point now);
  bool Current(const held_grant& grant) const;
  workspace_ask AskFor(const std::string& name, holding& of, boot_time_point now) const;

  std::string vm_;
  std::uint64_t incarnation_;
  std::string authority_;
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::string, holding> workspaces_;
  std::optional<boot_time_point> asked_at_;
  std::optional<boot_time_point> last_ask_at_;
  std::optional<boot_time_point> last_answer_at_;
  /// Asks in a row that were not answered.
  milliseconds min_ask_interval_{50};
  int failures_ = 0;
};

}  // namespace catkinmoor
