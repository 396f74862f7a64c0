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

constexpr double kMinPort = 1;
constexpr double kMaxPort = 65'535;
constexpr double kMaxTimeMs = 3'600'000;
constexpr double kMaxWorkers = 64;
constexpr double kMaxBytes = 1e12;
constexpr double kMaxMemoryMb = 1e6;
constexpr double kMaxDescriptors = 1e7;

const std::array<field<team_credential>, 2> kTeamFields = {{
    {"team", &team_credential::team, "Name of the team; \"*\" may change every document.", true, 1},
    {"token_hmac", &team_credential::token_hmac,
     "HMAC-SHA-256 of its token under token_key, in hex.", true, 1},
}};

using ds = distribution_settings;
const std::array<field<ds>, 13> kDistributionFields = {{
    {"strategy", &ds::strategy, "How updates are distributed: tree, gossip or poll."},
    {"probe_interval_ms", &ds::probe_interval, "Time between probes of a neighbour.", false, 50,
     kMaxTimeMs},
    {"probe_timeout_ms", &ds::probe_timeout, "Time within which a probe must be answered.", false,
     10, kMaxTimeMs},
    {"suspicion_ms", &ds::suspicion_timeout,
     "Time in which a suspected daemon can refute the suspicion before it counts as dead.", false,
     100, kMaxTimeMs},
    {"source_poll_ms", &ds::source_poll_interval,
     "Time between reads of the source by a daemon that polls it.", false, 50, kMaxTimeMs},
    {"source_wait_ms", &ds::source_long_poll_wait,
     "Time for which a source that supports long polling holds a read until there is an update.",
     false, 0, kMaxTimeMs},
    {"source_max_age_ms", &ds::max_source_age,
     "Time without a confirmation from a reader of the source after which a daemon reads the "
     "source itself; 0 always relies on the readers.",
     false, 0, kMaxTimeMs},
    {"key_revocation_ms", &ds::key_revocation_bound,
     "Time since a key's removal after which it must admit no request: without proof that its keys "
     "are younger than that, a daemon refuses requests with keys; 0 for no bound.",
     false, 0, kMaxTimeMs},
    {"witness_wait_ms", &ds::max_witness_wait,
     "Time after which a version comes in force without a witness; 0 always waits for a witness.",
     false, 0, kMaxTimeMs},
    {"source_is_current", &ds::source_is_authoritative,
     "Whether a read of the source alone yields every version that was ever in force."},
    {"spread_timeout_ms", &ds::spread_timeout, "Time within which a peer must accept an update.",
     false, 10, kMaxTimeMs},
    {"meeting_refresh_ms", &ds::rendezvous_refresh_interval,
     "Time between refreshes of a rendezvous record.", false, 100, kMaxTimeMs},
    {"member_batch_ms", &ds::member_batch_window,
     "Time for which member updates are collected into one message.", false, 0, 10'000},
}};

using ps = proxy_settings;
const std::array<field<ps>, 14> kProxyFields = {{
    {"header_bytes", &ps::max_header_bytes, "Largest request header, in bytes.", false, 256,
     1 << 20},
    {"body_bytes", &ps::max_body_bytes, "Largest request body, in bytes.", false, 0, kMaxBytes},
    {"replay_bytes", &ps::max_replay_bytes, "Largest request body buffered for a retry, in bytes.",
     false, 0, 1 << 24},
    {"header_timeout_ms", &ps::header_timeout, "Time within which a request header must arrive.",
     false, 10, kMaxTimeMs},
    {"idle_timeout_ms", &ps::idle_timeout, "Time after which an idle connection is closed.", false,
     100, kMaxTimeMs},
    {"progress_timeout_ms", &ps::progress_timeout,
     "Time within which one block of a body must be transferred.", false, 100, kMaxTimeMs},
    {"connect_timeout_ms", &ps::connect_timeout,
     "Time within which a connection must be established.", false, 10, kMaxTimeMs},
    {"fence_timeout_ms", &ps::fence_timeout,
     "Time within which a gate must report the outcome of a request.", false, 10, kMaxTimeMs},
    {"silence_check_ms", &ps::silence_check_interval,
     "Time without a response after which the gate is asked for the state of the request.", false,
     50, kMaxTimeMs},
    {"pool_idle", &ps::max_idle_connections,
     "Number of idle connections kept for each peer and worker.", false, 0, 10'000},
    {"mesh_document", &ps::mesh_document,
     "Document that holds the routes of all hosts; empty if each service has its own document."},
    {"own_service", &ps::own_service,
     "Service of the vm's own target, sent along with its requests to other targets."},
    {"max_depth", &ps::max_call_depth, "Maximum nesting depth of calls.", false, 1, 64},
    {"link_kbps", &ps::link_kbps,
     "Rate of the vm's link in kilobits per second, to which long responses are limited; 0 for no "
     "limit.",
     false, 0, kMaxBytes},
}};

using rb = rollout_bounds;
const std::array<field<rb>, 3> kRolloutFields = {{
    {"expose_share", &rb::expose_share,
     "Share of the requests to a service that an unproven version may get; 0 turns rollouts off.",
     false, 0, 1},
    {"expose_slack", &rb::expose_slack, "Requests that it may get beyond that share.", false, 0,
     kMaxBytes},
    {"rollback_ms", &rb::rollback,
     "Time after its 50th bad response in which a version may still get requests.", false, 0,
     kMaxTimeMs},
}};

const std::array<field<translation_rule>, 2> kTranslationRuleFields = {{
    {"prefix", &translation_rule::prefix, "Prefix of the addresses to which the rule applies.",
     true, 1},
    {"port_offset", &translation_rule::port_offset, "Offset that is added to the port.", true,
     -kMaxPort, kMaxPort},
}};

void ReadTranslationRules(const bj::value& from, const std::string& pointer, daemon_settings& to,
                          problems& found) {
  json::ReadArray<translation_rule>(from, pointer, kTranslationRuleFields, to.translation_rules,
                                    found);
}
bj::value WriteTranslationRules(const daemon_settings& from) {
  return json::WriteArray<translation_rule>(from.translation_rules, kTranslationRuleFields);
}
void ReadTeams(const bj::value& from, const std::string& pointer, daemon_settings& to,
               problems& found) {
  json::ReadArray<team_credential>(from, pointer, kTeamFields, to.teams, found);
}
bj::value WriteTeams(const daemon_settings& from) {
  return json::WriteArray<team_credential>(from.teams, kTeamFields);
}
void ReadDistribution(const bj::value& from, const std::string& pointer, daemon_settings& to,
                      problems& found) {
  json::ReadObject<ds>(from, pointer, kDistributionFields, to.distribution, found);
}
bj::value WriteDistribution(const daemon_settings& from) {
  return json::WriteObject<ds>(from.distribution, kDistributionFields);
}
void ReadProxy(const bj::value& from, const std::string& pointer, daemon_settings& to,
               problems& found) {
  json::ReadObject<ps>(from, pointer, kProxyFields, to.proxy, found);
}
void ReadRollout(const bj::value& from, const std::string& pointer, daemon_settings& to,
                 problems& found) {
  json::ReadObject<rb>(from, pointer, kRolloutFields, to.rollout, found);
}
bj::value WriteRollout(const daemon_settings& from) {
  return json::WriteObject<rb>(from.rollout, kRolloutFields);
}
bj::value WriteProxy(const daemon_settings& from) {
  return json::WriteObject<ps>(from.proxy, kProxyFields);
}

using qs = quota_settings;
const std::array<field<qs>, 3> kQuotaFields = {{
    {"window_ms", &qs::window,
     "Sliding window in which the requests of a workspace are limited; 0 switches quotas off.",
     false, 0, kMaxTimeMs},
    {"overage", &qs::overage,
     "Share by which the requests in a window may exceed rate x window + burst.", false, 0, 10},
    {"slack", &qs::slack, "Requests in a window that are permitted beyond that.", false, 0, 1e6},
}};

void ReadQuota(const bj::value& from, const std::string& pointer, daemon_settings& to,
               problems& found) {
  json::ReadObject<qs>(from, pointer, kQuotaFields, to.quota, found);
}
bj::value WriteQuota(const daemon_settings& from) {
  return json::WriteObject<qs>(from.quota, kQuotaFields);
}

using s = daemon_settings;
const std::array<field<s>, 31> kFields = {{
    {"vm", &s::vm, "Name of the vm, unique in the fleet.", true, 1},
    {"region", &s::region, "Region of the vm.", true, 1},
    {"data_centre", &s::data_centre, "Data centre of the vm.", true, 1},
    {"address", &s::address, "IP number on which the daemon listens.", true, 1},
    {"entry_port", &s::entry_port, "Port for callers.", false, kMinPort, kMaxPort},
    {"exit_port", &s::exit_port, "Port for the target's own calls; 0 if they use the entry port.",
     false, 0, kMaxPort},
    {"gate_port", &s::gate_port, "Port for other daemons' requests.", false, kMinPort, kMaxPort},
    {"control_port", &s::control_port, "Port for other daemons' messages.", false, kMinPort,
     kMaxPort},
    {"administration_port", &s::administration_port, "Port for operators.", false, kMinPort,
     kMaxPort},
    {"local_port", &s::local_port, "Port on which the target registers.", false, kMinPort,
     kMaxPort},
    {"readiness_port", &s::readiness_port, "Port that serves only the readiness check; 0 for none.",
     false, 0, kMaxPort},
    {"readiness_path", &s::readiness_path, "Path of the readiness check on that port.", false, 1},
    {"platform", &s::platform, "The platform's table and object store, as address:port.", true, 1},
    {"platform_timeout_ms", &s::platform_timeout, "Time within which the platform must respond.",
     false, 10, kMaxTimeMs},
    {"seed_peers", &s::seed_peers,
     "Control endpoints to join through while the platform's table is unavailable."},
    {"workers", &s::workers, "Number of threads that process requests.", false, 1, kMaxWorkers},
    {"memory_mb", &s::memory_mb,
     "Memory that the process may use, in megabytes, from which the byte budget for callers is "
     "computed; 0 for the limit of its control group, or the memory of the machine if that is "
     "less.",
     false, 0, kMaxMemoryMb},
    {"max_descriptors", &s::max_descriptors,
     "Descriptors that the process may use, from which the limit of callers' connections is "
     "computed; 0 for its hard limit of open files, to which the soft one is raised.",
     false, 0, kMaxDescriptors},
    {"target_lease_ms", &s::target_lease, "Time without a report after which a target is removed.",
     false, 100, kMaxTimeMs},
    {"drain_notice_ms", &s::drain_notice_period,
     "Time between the announcement of a planned stop and the refusal of new callers' requests.",
     false, 0, kMaxTimeMs},
    {"drain_timeout_ms", &s::drain_timeout,
     "Time within which active requests must end before the daemon stops.", false, 0, kMaxTimeMs},
    {"reload_check_ms", &s::reload_check_interval,
     "Time between checks for changed settings without a reload signal; 0 for no checks.", false, 0,
     kMaxTimeMs},
    {"token_key", &s::token_key, "Key of the HMACs of the tokens."},
    {"teams", custom_member<s>{ReadTeams, WriteTeams}, "Teams and the hashes of their tokens."},
    {"links", custom_member<s>{ReadTranslationRules, WriteTranslationRules},
     "Addresses that are reached on another port, such as through a forwarding device."},
    {"distribution", custom_member<s>{ReadDistribution, WriteDistribution},
     "Settings of distribution, listed below."},
    {"proxy", custom_member<s>{ReadProxy, WriteProxy}, "Settings of the proxies, listed below."},
    {"rollout", custom_member<s>{ReadRollout, WriteRollout},
     "Bounds on the exposure of unproven versions, listed below."},
    {"quota", custom_member<s>{ReadQuota, WriteQuota},
     "Settings of the quotas of workspaces, listed below."},
    {"processor_share", &s::processor_share,
     "Processor share of the vm, in cores. Daemons with more become the quota authority first.",
     false, 0, 1'000},
    {"verbose", &s::verbose, "Whether informational events are logged as well as warnings."},
}};

template <typename T>
void AppendRows(std::ostringstream& to, const std::string& prefix,
                std::type_identity_t<std::span<const field<T>>> table) {
  const T defaults;
  for (const field<T>& row : table) {
    const bool is_object = row.name == "distribution" || row.name == "proxy" ||
                           row.name == "rollout" || row.name == "quota";
    if (is_object) continue;
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
    json::AddProblem(found, "/distribution/strategy", "must be one of tree, gossip, poll");
  }
  if (!settings.platform.empty() && !Ok(ParseEndpoint(settings.platform))) {
    json::AddProblem(found, "/platform", "must be address:port");
  }
  for (std::size_t i = 0; i < settings.seed_peers.size(); ++i) {
    if (Ok(ParseEndpoint(settings.seed_peers[i]))) continue;
    json::AddProblem(found, "/seed_peers/" + std::to_string(i), "must be address:port");
  }
  if (!settings.teams.empty() && settings.token_key.empty()) {
    json::AddProblem(found, "/token_key", "is required if there are teams");
  }
  if (settings.quota.Enabled() && settings.proxy.mesh_document.empty()) {
    json::AddProblem(found, "/quota/window_ms", "requires a mesh document, which has workspaces");
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
  AppendRows<rb>(table, "rollout.", kRolloutFields);
  AppendRows<qs>(table, "quota.", kQuotaFields);
  return table.str();
}

}  // namespace catkinmoor
