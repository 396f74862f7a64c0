#pragma once

#include <span>
#include <string>
#include <vector>

#include "administration/team_registry.h"
#include "distribution/distribution_settings.h"
#include "framework/json/field_table.h"
#include "proxy/proxy_settings.h"
#include "rollout/rollout_state.h"
#include "quota/quota_settings.h"

namespace catkinmoor {

/// Settings of a daemon, read at its start.
struct daemon_settings {
  std::string vm;
  std::string region;
  std::string data_centre;
  std::string address;
  std::int64_t entry_port = 8080;
  std::int64_t exit_port = 8081;
  std::int64_t gate_port = 9001;
  std::int64_t control_port = 9002;
  std::int64_t administration_port = 9003;
  std::int64_t local_port = 9004;
  std::int64_t readiness_port = 0;
  std::string readiness_path = "/readyz";
  std::string platform;
  milliseconds platform_timeout{2'000};
  std::vector<std::string> seed_peers;
  std::int64_t workers = 2;
  /// Memory and descriptors that the process may use; 0 for the limits that it finds itself under.
  std::int64_t memory_mb = 0;
  std::int64_t max_descriptors = 0;
  milliseconds target_lease{3'000};
  milliseconds drain_notice_period{1'000};
  milliseconds drain_timeout{30'000};
  milliseconds reload_check_interval{0};
  std::string token_key;
  std::vector<team_credential> teams;
  std::vector<translation_rule> translation_rules;
  distribution_settings distribution;
  proxy_settings proxy;
  rollout_bounds rollout;
  quota_settings quota;
  double processor_share = 1;
  bool verbose = false;
};

/// The field table that maps the settings to JSON.
std::span<const json::field<daemon_settings>> DaemonSettingsFields();

/// Parses settings. Reports all problems in one pass, each with its JSON pointer.
std::variant<daemon_settings, json::problems> ParseDaemonSettings(std::string_view text);

/// The settings as JSON text, including the token hashes.
std::string PrintDaemonSettings(const daemon_settings& settings);

/// A Markdown table of all settings with their defaults and meanings.
std::string DaemonSettingsReference();

}  // namespace catkinmoor
