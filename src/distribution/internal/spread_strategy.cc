#include "distribution/spread_strategy.h"

#include <algorithm>
#include <mutex>
#include <random>

namespace catkinmoor {
namespace {

constexpr std::size_t kReadersPerRegion = 2;
constexpr std::size_t kGossipFanout = 3;

bool IsReader(const member_view& view, const member_record& self) {
  const auto readers = Readers(view, self.region, kReadersPerRegion);
  return std::any_of(readers.begin(), readers.end(),
                     [&](const member_ptr& each) { return each->vm == self.vm; });
}

/// Relays between data centres, and a binomial tree inside each.
class tree_strategy : public spread_strategy {
 public:
  std::vector<spread_hop> Plan(const member_view& view, const member_record& self,
                               const spread_scope& scope) override {
    return PlanSpread(view, self, scope);
  }
  bool ReadsSource(const member_view& view, const member_record& self) const override {
    return IsReader(view, self);
  }
  bool SpreadsConfirmations() const override { return true; }
  bool ForwardsHeld() const override { return true; }
};

/// Every receiver of an update forwards it to a few random members of the whole fleet.
class gossip_strategy : public spread_strategy {
 public:
  explicit gossip_strategy(std::uint64_t seed) : random_(seed) {}

  std::vector<spread_hop> Plan(const member_view& view, const member_record& self,
                               const spread_scope& scope) override {
    std::vector<member_ptr> others;
    for (const auto& [vm, member] : view.all) {
      if (vm != self.vm && IsPresent(*member)) others.push_back(member);
    }
    std::vector<member_ptr> chosen;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::sample(others.begin(), others.end(), std::back_inserter(chosen), kGossipFanout, random_);
    }
    std::vector<spread_hop> hops;
    hops.reserve(chosen.size());
    for (const member_ptr& each : chosen) hops.push_back({{{each, scope}}});
    return hops;
  }
  bool ReadsSource(const member_view& view, const member_record& self) const override {
    return IsReader(view, self);
  }
  bool ForwardsHeld() const override { return false; }

 private:
  std::mutex mutex_;
  std::mt19937_64 random_;
};

/// Every daemon reads the source for itself. Member records are still spread by the tree, since the
/// source does not hold them.
class poll_strategy : public spread_strategy {
 public:
  std::vector<spread_hop> Plan(const member_view& view, const member_record& self,
                               const spread_scope& scope) override {
    return PlanSpread(view, self, scope);
  }
  bool ReadsSource(const member_view&, const member_record&) const override { return true; }
  bool SpreadsDocuments() const override { return false; }
  bool ForwardsHeld() const override { return true; }
};

}  // namespace

std::unique_ptr<spread_strategy> MakeSpreadStrategy(const std::string& name, std::uint64_t seed) {
  if (name == kTreeStrategy) return std::make_unique<tree_strategy>();
  if (name == kGossipStrategy) return std::make_unique<gossip_strategy>(seed);
  if (name == kPollStrategy) return std::make_unique<poll_strategy>();
  return nullptr;
}

}  // namespace catkinmoor
