#pragma once

#include <boost/asio/awaitable.hpp>

#include "distribution/record_exchange.h"

namespace catkinmoor {

/// Finds out where a version is in force by querying the fleet along the spreading tree and summing
/// the responses. A member that does not respond is counted as unresponsive, never as in force.
class status_controller {
 public:
  status_controller(distribution_dependencies deps, peer_client& peers);

  /// Counts for the whole fleet, by data centre, gathered within a time budget.
  boost::asio::awaitable<gather_reply> Status(std::string service, std::uint64_t version,
                                              milliseconds budget);

  boost::asio::awaitable<gather_reply> OnGather(gather_request message);

 private:
  data_centre_status OwnStatus(const std::string& service, std::uint64_t version) const;
  boost::asio::awaitable<gather_reply> QueryHop(spread_hop hop, gather_request message);

  distribution_dependencies deps_;
  peer_client& peers_;
};

/// Adds the counts of one data centre to a report, keeping a bounded sample of lagging members.
void AddStatus(gather_reply& to, const data_centre_status& from);

/// Whether every known member responded and has the version in force.
bool InForceEverywhere(const gather_reply& report);

}  // namespace catkinmoor
