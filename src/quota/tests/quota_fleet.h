#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quota/authority_finder.h"
#include "quota/permit_authority.h"

namespace catkinmoor {

/// A fleet of daemons on a virtual clock that runs the decision code of quotas, with a table and
/// links that can fail.
class quota_fleet {
 public:
  struct options {
    std::size_t daemons = 5;
    std::vector<workspace> workspaces;
    quota_settings settings{milliseconds(5'000), 0.1, 20};
    bool era_known = true;
    std::uint64_t seed = 1;
  };

  struct outcome_counts {
    int admitted = 0;
    int over_limit = 0;
    int no_authority = 0;
  };

  explicit quota_fleet(options chosen);

  /// Sends requests of a workspace to a daemon at a mean rate until the time given.
  void SendLoad(std::size_t daemon, const std::string& workspace, double rate, milliseconds from,
                milliseconds to);
  void At(milliseconds time, std::function<void()> action);
  void RunUntil(milliseconds time);

  void Pause(std::size_t daemon, milliseconds duration);
  void Restart(std::size_t daemon);
  void Release(std::size_t daemon);
  void SetLimits(std::vector<workspace> workspaces);
  void RestoreStore();
  std::optional<std::size_t> Authority() const;

  /// Faults; probabilities are per message or call.
  double message_loss = 0;
  double message_repeat = 0;
  milliseconds max_message_delay{2};
  double lost_answers = 0;
  double delayed_writes = 0;
  std::set<std::size_t> store_refuses;
  std::set<std::pair<std::size_t, std::size_t>> cut_links;

  /// Requests of a workspace that arrived in the interval, by outcome.
  outcome_counts Count(const std::string& workspace, milliseconds from, milliseconds to) const;

  /// The largest number of requests of a workspace run in any window that begins at or after
  /// `from`.
  int LargestWindow(const std::string& workspace, milliseconds from) const;
  double Bound(const std::string& workspace) const;
  std::uint64_t Messages() const { return messages_; }
  std::uint64_t StoreCalls() const { return store_calls_; }
  std::size_t MostAuthorities() const { return most_authorities_; }

 private:
  struct waiting_request {
    std::string workspace;
    boot_time_point arrived;
    boot_time_point until;
  };
  struct member {
    std::string vm;
    std::uint64_t incarnation = 1;
    std::unique_ptr<permit_holder> holder;
    std::unique_ptr<authority_claim> claim;
    std::unique_ptr<permit_authority> authority;
    authority_finder finder;
    boot_time_point paused_until;
    boot_time_point next_watch;
    boot_time_point row_read_at;
    std::uint64_t ask_number = 0;
    std::vector<waiting_request> waiting;
  };
  struct stored_row {
    authority_row row;
    std::uint64_t revision = 0;
  };
  struct record {
    boot_time_point at;
    std::string workspace;
    int outcome = 0;
  };

  static boot_time_point Time(milliseconds since_start) {
    return boot_time_point(std::chrono::hours(1) + since_start);
  }
  void Start(member& of);
  void OnDaemon(std::size_t daemon, milliseconds delay, std::function<void()> action);
  void Tick(std::size_t daemon);
  void Watch(std::size_t daemon, bool may_write);
  void Write(std::size_t daemon, authority_claim::row_claim claim);
  void Ask(std::size_t daemon);
  void Receive(std::size_t daemon, std::size_t sender, const permit_ask& ask);
  permit_reply Answer(member& of, const permit_ask& ask);
  void Arrive(std::size_t daemon, const std::string& workspace);
  bool TryAdmit(std::size_t daemon, const waiting_request& request);
  void Retry(std::size_t daemon);
  bool Chance(double probability);
  milliseconds Delay();
  std::size_t IndexOf(const std::string& vm) const;
  bool IsAuthority(const member& of) const;

  options options_;
  std::mt19937_64 random_;
  boot_time_point now_ = Time(milliseconds(0));
  std::multimap<boot_time_point, std::function<void()>> events_;
  std::vector<member> members_;
  std::optional<stored_row> row_;
  std::vector<std::pair<boot_time_point, std::optional<stored_row>>> history_;
  std::uint64_t next_revision_ = 1;
  std::uint64_t era_ = 1;
  std::vector<record> requests_;
  std::map<std::string, std::vector<boot_time_point>> runs_;
  std::uint64_t messages_ = 0;
  std::uint64_t store_calls_ = 0;
  std::size_t most_authorities_ = 0;
};

}  // namespace catkinmoor
