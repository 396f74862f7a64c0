#include "daemon/daemon_settings.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

#include "distribution/spread_strategy.h"
#include "framework/base/endpoint.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;
using json::custom_member;
using json::field;
using json::problems;

constexpr double kLeastPort = 1;
constexpr double kMostPort = 65'535;
constexpr double kHourMs = 3'600'000;
constexpr double kMostWorkers = 64;
constexpr double kMostBytes = 1e12;

const std::array<field<team_entry>, 2> kTeamFields = {{
    {"team", &team_entry::team, "Name of the team; \"*\" may change every document.", true, 1},
    {"token_hmac", &team_entry::token_hmac, "HMAC-SHA-256 of its token under token_key, in hex.",
     true, 1},
}};

using ds = distribution_settings;
const std::array<field<ds>, 11> kDistributionFields = {{
    {"strategy", &ds::strategy, "How news is carried: tree, gossip or poll."},
    {"probe_interval_ms", &ds::probe_interval, "Time between probes of a neighbour.", false, 50,
     kHourMs},
    {"probe_timeout_ms", &ds::probe_timeout, "Time a probe may take.", false, 10, kHourMs},
    {"suspicion_ms", &ds::suspicion, "Time a suspect has to refute before it counts as dead.",
     false, 100, kHourMs},
    {"source_poll_ms", &ds::source_poll, "Time between looks at the source by a reader.", false, 50,
     kHourMs},
    {"source_wait_ms", &ds::source_wait,
     "Time for which a source that can do so holds a read back until there is news.", false, 0,
     kHourMs},
    {"witness_wait_ms", &ds::witness_wait,
     "Time after which a version comes in force without a witness; 0 waits for one.", false, 0,
     kHourMs},
    {"source_is_current", &ds::source_is_current,
     "Whether a read of the source alone tells every version that ever was in force."},
    {"spread_timeout_ms", &ds::spread_timeout, "Time a peer has to take news.", false, 10, kHourMs},
    {"meeting_refresh_ms", &ds::meeting_refresh, "Time between refreshes of a meeting row.", false,
     100, kHourMs},
    {"member_batch_ms", &ds::member_batch, "Time in which news of members is gathered up.", false,
     0, 10'000},
}};

using ps = proxy_settings;
const std::array<field<ps>, 14> kProxyFields = {{
    {"header_bytes", &ps::header_bytes, "Largest request header, in bytes.", false, 256, 1 << 20},
    {"body_bytes", &ps::body_bytes, "Largest request body, in bytes.", false, 0, kMostBytes},
    {"replay_bytes", &ps::replay_bytes, "Largest body kept so that it can be sent twice, in bytes.",
     false, 0, 1 << 24},
    {"header_timeout_ms", &ps::header_timeout, "Time a request header may take.", false, 10,
     kHourMs},
    {"idle_timeout_ms", &ps::idle_timeout, "Time a connection may stay idle.", false, 100, kHourMs},
    {"progress_timeout_ms", &ps::progress_timeout, "Time one block of a body may take.", false, 100,
     kHourMs},
    {"connect_timeout_ms", &ps::connect_timeout, "Time a connection may take to open.", false, 10,
     kHourMs},
    {"fence_timeout_ms", &ps::fence_timeout, "Time a gate has to say what became of a request.",
     false, 10, kHourMs},
    {"silence_check_ms", &ps::silence_check,
     "Time without an answer after which the gate is asked about the request.", false, 50, kHourMs},
    {"pool_idle", &ps::pool_idle, "Idle connections kept for each peer and worker.", false, 0,
     10'000},
    {"mesh_document", &ps::mesh_document,
     "Document that holds the routes of every host; empty when each service has its own."},
    {"own_service", &ps::own_service,
     "Service of the vm's own target, told to the targets that its requests reach."},
    {"max_depth", &ps::max_depth, "How deeply calls may be nested.", false, 1, 64},
    {"link_kbps", &ps::link_kbps,
     "Rate of the vm's link in kilobits a second, which long answers keep to; 0 for no bound.",
     false, 0, kMostBytes},
}};

const std::array<field<translation_rule>, 2> kLinkFields = {{
    {"prefix", &translation_rule::prefix, "Start of the addresses that it holds for.", true, 1},
    {"port_offset", &translation_rule::port_offset, "Added to the port.", true, -kMostPort,
     kMostPort},
}};

void ReadLinks(const bj::value& from, const std::string& place, daemon_settings& to,
               problems& found) {
  json::ReadItems<translation_rule>(from, place, kLinkFields, to.links, found);
}
bj::value WriteLinks(const daemon_settings& from) {
  return json::WriteItems<translation_rule>(from.links, kLinkFields);
}
void ReadTeams(const bj::value& from, const std::string& place, daemon_settings& to,
               problems& found) {
  json::ReadItems<team_entry>(from, place, kTeamFields, to.teams, found);
}
bj::value WriteTeams(const daemon_settings& from) {
  return json::WriteItems<team_entry>(from.teams, kTeamFields);
}
void ReadDistribution(const bj::value& from, const std::string& place, daemon_settings& to,
                      problems& found) {
  json::ReadObject<ds>(from, place, kDistributionFields, to.distribution, found);
}
bj::value WriteDistribution(const daemon_settings& from) {
  return json::WriteObject<ds>(from.distribution, kDistributionFields);
}
void ReadProxy(const bj::value& from, const std::string& place, daemon_settings& to,
               problems& found) {
  json::ReadObject<ps>(from, place, kProxyFields, to.proxy, found);
}
bj::value WriteProxy(const daemon_settings& from) {
  return json::WriteObject<ps>(from.proxy, kProxyFields);
}

using s = daemon_settings;
const std::array<field<s>, 26> kFields = {{
    {"vm", &s::vm, "Name of the vm, unique in the fleet.", true, 1},
    {"region", &s::region, "Region of the vm.", true, 1},
    {"data_centre", &s::data_centre, "Data centre of the vm.", true, 1},
    {"address", &s::address, "IP number on which the daemon listens.", true, 1},
    {"entry_port", &s::entry_port, "Port for callers.", false, kLeastPort, kMostPort},
    {"exit_port", &s::exit_port,
     "Port for the target's own calls; 0 when they come to the entry's.", false, 0, kMostPort},
    {"gate_port", &s::gate_port, "Port for other daemons' requests.", false, kLeastPort, kMostPort},
    {"control_port", &s::control_port, "Port for other daemons' messages.", false, kLeastPort,
     kMostPort},
    {"administration_port", &s::administration_port, "Port for operators.", false, kLeastPort,
     kMostPort},
    {"local_port", &s::local_port, "Port on which the target announces itself.", false, kLeastPort,
     kMostPort},
    {"readiness_port", &s::readiness_port, "Port on which only readiness is told; 0 for none.",
     false, 0, kMostPort},
    {"readiness_path", &s::readiness_path, "Path of readiness on that port.", false, 1},
    {"platform", &s::platform, "The platform's table and object store, as address:port.", true, 1},
    {"platform_timeout_ms", &s::platform_timeout, "Time the platform has to answer.", false, 10,
     kHourMs},
    {"seed_peers", &s::seed_peers, "Control endpoints to join through while the table is down."},
    {"workers", &s::workers, "Threads that carry requests.", false, 1, kMostWorkers},
    {"target_lease_ms", &s::target_lease, "Time after which a silent target counts as gone.", false,
     100, kHourMs},
    {"drain_notice_ms", &s::drain_notice, "Time between the word of leaving and closing.", false, 0,
     kHourMs},
    {"drain_timeout_ms", &s::drain_timeout, "Time running requests have to end.", false, 0,
     kHourMs},
    {"reload_check_ms", &s::reload_check,
     "Time between looks whether the settings changed without a signal; 0 for none.", false, 0,
     kHourMs},
    {"token_key", &s::token_key, "Key of the tokens' HMACs."},
    {"teams", custom_member<s>{ReadTeams, WriteTeams}, "Teams and the hashes of their tokens."},
    {"links", custom_member<s>{ReadLinks, WriteLinks},
     "Addresses that are reached on another port, as across a forwarding device."},
    {"distribution", custom_member<s>{ReadDistribution, WriteDistribution}, "See distribution."},
    {"proxy", custom_member<s>{ReadProxy, WriteProxy}, "See proxy."},
    {"verbose", &s::verbose, "Whether ordinary events are logged, not only warnings."},
}};

template <typename T>
void AppendRows(std::ostringstream& to, const std::string& prefix,
                std::type_identity_t<std::span<const field<T>>> table) {
  const T defaults;
  for (const field<T>& row : table) {
    if (row.name == "distribution" || row.name == "proxy") continue;
    const std::string value =
        row.required ? "required" : bj::serialize(json::internal::WriteMember(row, defaults));
    to << "| `" << prefix << row.name << "` | `" << value << "` | " << row.description << " |\n";
  }
}

}  // namespace

std::span<const field<daemon_settings>> DaemonSettingsFields() { return kFields; }

std::variant<daemon_settings, problems> ParseDaemonSettings(std::string_view text) {
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<problems>(&parsed)) return *failed;
  daemon_settings settings;
  problems found;
  json::ReadObject<daemon_settings>(std::get<bj::value>(parsed), "", kFields, settings, found);
  if (MakeSpreadStrategy(settings.distribution.strategy, 0) == nullptr) {
    json::Report(found, "/distribution/strategy", "must be one of tree, gossip, poll");
  }
  if (!settings.platform.empty() && !Ok(ParseEndpoint(settings.platform))) {
    json::Report(found, "/platform", "must be address:port");
  }
  for (std::size_t i = 0; i < settings.seed_peers.size(); ++i) {
    if (Ok(ParseEndpoint(settings.seed_peers[i]))) continue;
    json::Report(found, "/seed_peers/" + std::to_string(i), "must be address:port");
  }
  if (!settings.teams.empty() && settings.token_key.empty()) {
    json::Report(found, "/token_key", "is required when there are teams");
  }
  if (!found.empty()) return found;
  return settings;
}

std::string PrintDaemonSettings(const daemon_settings& settings) {
  return bj::serialize(json::WriteObject<daemon_settings>(settings, kFields)) + "\n";
}

std::string DaemonSettingsReference() {
  std::ostringstream table;
  table << "| setting | default | meaning |\n| --- | --- | --- |\n";
  AppendRows<daemon_settings>(table, "", kFields);
  AppendRows<ds>(table, "distribution.", kDistributionFields);
  AppendRows<ps>(table, "proxy.", kProxyFields);
  return table.str();
}

}  // namespace catkinmoor
