#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "document/document.h"
#include "framework/base/clock.h"
#include "framework/base/endpoint.h"

namespace catkinmoor {

/// State of a daemon as its peers see it. At the same incarnation and sequence, a later enumerator
/// takes precedence over an earlier one.
enum class member_state { kAlive, kSuspect, kDead, kLeft };

/// State of a target as its own daemon announces it.
enum class target_state { kStarting, kReady, kLeaving };

/// A target as it registered with the daemon on its vm. The instance id differs for every start of
/// the target process.
struct target_announcement {
  std::string service;
  std::string instance;
  label_map labels;
  target_state state = target_state::kReady;
  std::uint32_t slots = 1;
  std::uint32_t connections = 130;
  std::uint64_t ready_at_ms = 0;
  /// Start time of the target in Unix milliseconds, 0 if it does not report it. Distinguishes two
  /// starts under the same instance id.
  std::uint64_t start_ms = 0;

  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// The target instance that last reported that it is leaving, with its start time. Peers keep it
/// for a daemon that restarts, so that the daemon rejects a delayed report of that instance.
struct departed_target {
  std::string instance;
  std::uint64_t start_ms = 0;

  friend bool operator==(const departed_target&, const departed_target&) = default;
};

/// Version of a member record. Ordered by incarnation, then by the owner's sequence number, then by
/// the precedence of the state.
struct member_version {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  member_state state = member_state::kAlive;

  friend auto operator<=>(const member_version&, const member_version&) = default;
};

/// Everything known of one vm and its daemon. Treated as immutable; a change makes a new record.
struct member_record {
  std::string vm;
  std::string region;
  std::string data_centre;
  endpoint gate;
  endpoint control;
  member_version version;
  std::optional<target_announcement> target;
  std::optional<departed_target> departed = std::nullopt;
  /// The name of the daemon's build; empty for daemons that do not state it.
  std::string build = {};

  friend bool operator==(const member_record&, const member_record&) = default;
};

using member_ptr = std::shared_ptr<const member_record>;

/// Whether a member takes part in distribution: alive or suspected.
inline bool IsPresent(const member_record& member) {
  return member.version.state == member_state::kAlive ||
         member.version.state == member_state::kSuspect;
}

/// The name of a state as used in JSON.
const char* StateName(member_state state);
const char* StateName(target_state state);

}  // namespace catkinmoor
