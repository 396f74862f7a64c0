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

/// Life of a daemon as its peers see it. A later state outranks an earlier one at the same
/// incarnation and sequence.
enum class member_state { kAlive, kSuspect, kDead, kLeft };

/// Life of a target as its own daemon announces it.
enum class target_state { kStarting, kReady, kLeaving };

/// A target as it announced itself to the daemon on its vm. The instance differs for every start
/// of the target process.
struct target_announcement {
  std::string service;
  std::string instance;
  label_map labels;
  target_state state = target_state::kReady;
  std::uint32_t slots = 1;
  std::uint32_t connections = 130;
  std::uint64_t ready_at_ms = 0;

  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// The start of a target that last said that it leaves. Others keep it for a daemon that restarts
/// and must not believe a report of that start that was held up on the way.
struct departed_target {
  std::string instance;
  std::uint64_t born_ms = 0;

  friend bool operator==(const departed_target&, const departed_target&) = default;
};

/// Order of statements about one vm: incarnation, then the owner's sequence, then rank.
struct member_version {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  member_state state = member_state::kAlive;

  friend auto operator<=>(const member_version&, const member_version&) = default;
};

/// All that is known of one vm and its daemon. Immutable; a change is a new record.
struct member_record {
  std::string vm;
  std::string region;
  std::string data_centre;
  endpoint gate;
  endpoint control;
  member_version version;
  std::optional<target_announcement> target;
  std::optional<departed_target> departed = std::nullopt;

  friend bool operator==(const member_record&, const member_record&) = default;
};

using member_ptr = std::shared_ptr<const member_record>;

/// Whether a member takes part in distribution: alive or merely suspected.
inline bool IsPresent(const member_record& member) {
  return member.version.state == member_state::kAlive ||
         member.version.state == member_state::kSuspect;
}

/// The name of a state as it stands in JSON.
const char* StateName(member_state state);
const char* StateName(target_state state);

}  // namespace catkinmoor
