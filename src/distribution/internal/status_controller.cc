#include "distribution/status_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxLaggingMembers = 5;
constexpr milliseconds kBudgetPerHop{50};
constexpr milliseconds kMinBudget{100};

std::uint64_t IdentityHash(const std::string& vm) { return StableHash(vm, 4); }

/// Adds to the unresponsive counts the members that this daemon knows and the report does not
/// cover. If at least as many members were counted but the identity sums differ, one is added.
void AddUnresponsive(gather_reply& report, const member_view& view) {
  for (const auto& entry : view.data_centres) {
    const std::string& name = entry.first;
    const auto& members = entry.second;
    AddStatus(report, {members.front()->region, name, 0, 0, 0, 0, 0, {}});
    auto& status = *std::find_if(report.data_centres.begin(), report.data_centres.end(),
                                 [&](const auto& each) { return each.data_centre == name; });
    std::uint64_t identity_sum = 0;
    for (const member_ptr& each : members) identity_sum += IdentityHash(each->vm);
    if (identity_sum == status.identity_sum) continue;
    const std::size_t counted = status.in_force + status.behind + status.refused;
    status.unresponsive += counted < members.size() ? members.size() - counted : 1;
  }
}

}  // namespace

void AddStatus(gather_reply& to, const data_centre_status& from) {
  auto found = std::find_if(to.data_centres.begin(), to.data_centres.end(),
                            [&](const auto& each) { return each.data_centre == from.data_centre; });
  if (found == to.data_centres.end()) {
    to.data_centres.push_back({from.region, from.data_centre, 0, 0, 0, 0, 0, {}});
    found = std::prev(to.data_centres.end());
  }
  found->in_force += from.in_force;
  found->behind += from.behind;
  found->refused += from.refused;
  found->unresponsive += from.unresponsive;
  found->identity_sum += from.identity_sum;
  for (const lagging_member& each : from.lagging_members) {
    if (found->lagging_members.size() < kMaxLaggingMembers) found->lagging_members.push_back(each);
  }
}

bool InForceEverywhere(const gather_reply& report) {
  return !report.data_centres.empty() &&
         std::all_of(report.data_centres.begin(), report.data_centres.end(), [](const auto& each) {
           return each.behind == 0 && each.refused == 0 && each.unresponsive == 0;
         });
}

status_controller::status_controller(distribution_dependencies deps, peer_client& peers)
    : deps_(deps), peers_(peers) {}

data_centre_status status_controller::OwnStatus(const std::string& service,
                                                std::uint64_t version) const {
  const member_record self = deps_.self.Get();
  data_centre_status status{self.region, self.data_centre, 0, 0, 0, 0, IdentityHash(self.vm), {}};
  const auto in_force = deps_.documents.InForce(service);
  if (in_force != nullptr && in_force->source.version >= version) {
    status.in_force = 1;
    return status;
  }
  for (const refused_version& each : deps_.documents.Refusals()) {
    if (each.service != service) continue;
    if (each.version != 0 && each.version < version) continue;
    status.refused = 1;
    status.lagging_members.push_back({self.vm, "refused: " + each.reason});
    return status;
  }
  status.behind = 1;
  const std::uint64_t current_version = in_force == nullptr ? 0 : in_force->source.version;
  status.lagging_members.push_back({self.vm, "has version " + std::to_string(current_version)});
  return status;
}

asio::awaitable<gather_reply> status_controller::Status(std::string service, std::uint64_t version,
                                                        milliseconds budget) {
  gather_request message;
  message.sender = deps_.self.Get().vm;
  message.scope = {spread_range::kFleet, ""};
  message.service = std::move(service);
  message.version = version;
  message.budget = budget;
  gather_reply report = co_await OnGather(std::move(message));
  AddUnresponsive(report, *deps_.members.View());
  std::sort(report.data_centres.begin(), report.data_centres.end(),
            [](const auto& left, const auto& right) {
              return std::pair(left.region, left.data_centre) <
                     std::pair(right.region, right.data_centre);
            });
  co_return report;
}

asio::awaitable<gather_reply> status_controller::OnGather(gather_request message) {
  gather_reply report;
  AddStatus(report, OwnStatus(message.service, message.version));
  const member_record self = deps_.self.Get();
  const auto hops = PlanSpread(*deps_.members.View(), self, message.scope);
  if (hops.empty()) co_return report;
  message.sender = self.vm;
  message.budget = std::max(message.budget - kBudgetPerHop, kMinBudget);
  const auto executor = co_await asio::this_coro::executor;
  using operation =
      decltype(asio::co_spawn(executor, QueryHop(hops.front(), message), asio::deferred));
  std::vector<operation> operations;
  operations.reserve(hops.size());
  for (const spread_hop& hop : hops) {
    operations.push_back(asio::co_spawn(executor, QueryHop(hop, message), asio::deferred));
  }
  auto [order, failures, replies] =
      co_await asio::experimental::make_parallel_group(std::move(operations))
          .async_wait(asio::experimental::wait_for_all(), asio::use_awaitable);
  for (const gather_reply& reply : replies) {
    for (const data_centre_status& each : reply.data_centres) AddStatus(report, each);
  }
  co_return report;
}

asio::awaitable<gather_reply> status_controller::QueryHop(spread_hop hop, gather_request message) {
  gather_reply report;
  const time_point end = Now() + message.budget;
  while (!hop.candidates.empty()) {
    const auto& candidate = hop.candidates.front();
    const auto remaining = std::chrono::duration_cast<milliseconds>(end - Now());
    if (remaining < kMinBudget) break;
    message.scope = candidate.scope;
    // Reserves half of the remaining time for the other candidates, if there are any.
    message.budget = hop.candidates.size() > 1 ? remaining / 2 : remaining;
    auto reply = co_await peers_.Gather(candidate.member->control, message, message.budget);
    if (Ok(reply)) {
      for (const auto& each : Value(reply).data_centres) AddStatus(report, each);
      co_return report;
    }
    const member_record& member = *candidate.member;
    AddStatus(report,
              {member.region, member.data_centre, 0, 0, 0, 0, 0, {{member.vm, "no answer"}}});
    hop.candidates.erase(hop.candidates.begin());
  }
  co_return report;
}

}  // namespace catkinmoor
