#pragma once

#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "document/document.h"
#include "quota/permit_messages.h"
#include "quota/quota_settings.h"

namespace catkinmoor {

/// What the permits of the epoch before may still allow when an authority starts.
enum class predecessor_state {
  kSettled,  ///< Its own predecessor's permits were void, so that at most its share is outstanding.
  kUnsettled  ///< It took over shortly before, so that up to the whole capacity is outstanding.
};

/// The state of a workspace's bucket, for metrics.
struct bucket_level {
  std::string workspace;
  double level = 0;
  double outstanding = 0;
  double capacity = 0;
};

/// Grants permits for the requests of limited workspaces, as the only authority of its epoch. Each
/// workspace has a bucket that is refilled at its rate while level and outstanding permits together
/// are below the capacity burst + overage x (rate x window + burst) + slack. Whenever permits are
/// used, any window then has at most capacity + rate x window requests. Not thread-safe; the caller
/// passes the time and answers only while its claim is valid.
class permit_authority {
 public:
  /// Buckets start at level 0, since the permits of the epoch before are not known.
  permit_authority(std::string vm, std::uint64_t epoch, quota_settings settings,
                   predecessor_state predecessor, boot_time_point now);

  /// Takes over the limits of the workspaces in force. A lower limit cuts the level at once.
  void SetLimits(const std::vector<workspace>& workspaces, boot_time_point now);

  permit_reply Answer(const permit_ask& ask, boot_time_point now);

  /// Whether all permits of the epochs before are certain to be void.
  bool Settled(boot_time_point now) const { return now >= inherited_until_; }

  std::uint64_t Epoch() const { return epoch_; }

  std::vector<bucket_level> Levels(boot_time_point now);

 private:
  /// Holder, its incarnation, and the sequence number of the ask.
  using grant_key = std::tuple<std::string, std::uint64_t, std::uint64_t>;

  struct holder_demand {
    double demand = 0;
    boot_time_point reported_at;
  };

  struct bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double outstanding = 0;
    boot_time_point refilled_at;
    std::map<grant_key, std::uint32_t> grants;
    /// Grants in the order in which they become void.
    std::deque<std::pair<boot_time_point, grant_key>> voids;
    std::map<std::string, holder_demand> demands;
  };

  struct holder_progress {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  double Capacity(const bucket& of) const;

  /// Upper limit of level and outstanding permits together.
  double Limit(const bucket& of, boot_time_point now) const;

  void Refresh(bucket& of, boot_time_point now) const;
  static void Settle(bucket& of, const grant_key& key, const permit_settlement& settlement);
  workspace_grant Grant(bucket& from, const workspace_ask& ask, const permit_ask& message,
                        boot_time_point now) const;

  std::string vm_;
  std::uint64_t epoch_;
  quota_settings settings_;
  predecessor_state predecessor_;
  boot_time_point inherited_until_;
  std::map<std::string, bucket> buckets_;
  std::map<std::string, holder_progress> holders_;
};

}  // namespace catkinmoor
