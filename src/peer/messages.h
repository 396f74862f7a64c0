#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "document/document.h"
#include "membership/member.h"
#include "quarantine/quarantine_board.h"
#include "rollout/rollout_state.h"
#include "quota/permit_messages.h"

namespace catkinmoor {

/// The part of the fleet to which the receiver must forward a message.
enum class spread_range {
  kFleet,        ///< Every region.
  kRegion,       ///< The receiver's region.
  kDataCentre,   ///< The receiver's data centre.
  kRingSegment,  ///< The ring from the receiver's successor up to and including `last_vm`.
};

/// The daemons that a message must cover besides its receiver.
struct spread_scope {
  spread_range range = spread_range::kFleet;
  std::string last_vm;

  friend bool operator==(const spread_scope&, const spread_scope&) = default;
};

/// A reader's statement that the documents with this hash were the newest of the source.
struct source_confirmation {
  /// On the clock of the daemon that holds the message; sent as an age.
  time_point confirmed_at{};
  std::uint64_t document_hash = 0;
  /// The highest change number among the documents.
  std::uint64_t last_change = 0;
  /// Era of the store that was read; 0 if it stated none.
  std::uint64_t store_era = 0;

  friend bool operator==(const source_confirmation&, const source_confirmation&) = default;
};

/// Updates that are distributed through the fleet.
struct spread_request {
  std::string sender;
  std::string sender_data_centre;
  spread_scope scope;
  std::vector<document_version> documents;
  std::vector<member_record> members;
  std::vector<crash_report> crashes;
  /// The vm that the message is meant for; empty when unknown.
  std::string recipient;
  std::optional<source_confirmation> confirmation = std::nullopt;
  std::vector<rollout_state> rollouts = {};

  friend bool operator==(const spread_request&, const spread_request&) = default;
};

/// Confirms that the receiver holds everything sent except the documents of refused services.
struct spread_reply {
  std::vector<std::string> refused_services;
  /// Whether the message was meant for another vm, so that nothing of it was taken. The address of
  /// a vm that is gone may be given to a new one.
  bool misdirected = false;

  friend bool operator==(const spread_reply&, const spread_reply&) = default;
};

/// Checks whether a peer is reachable and whether both sides hold the same records. With
/// on_behalf_of set, the receiver probes that vm and reports whether it responded.
struct probe_request {
  std::string sender;
  std::uint64_t document_hash = 0;
  std::uint64_t member_hash = 0;
  std::string on_behalf_of;
  /// The vm that is probed; empty when unknown.
  std::string recipient;

  friend bool operator==(const probe_request&, const probe_request&) = default;
};

struct probe_reply {
  /// Whether the vm that is probed responded; false if the receiver is another vm.
  bool reached = true;
  std::uint64_t document_hash = 0;
  std::uint64_t member_hash = 0;

  friend bool operator==(const probe_reply&, const probe_reply&) = default;
};

/// The vm and version of a member record.
struct member_summary {
  std::string vm;
  member_version version;

  friend bool operator==(const member_summary&, const member_summary&) = default;
};

/// The hashes of all buckets of records, to find the buckets that differ.
struct compare_request {
  std::string sender;
  std::vector<std::uint64_t> document_buckets;
  std::vector<std::uint64_t> member_buckets;

  friend bool operator==(const compare_request&, const compare_request&) = default;
};

/// Summaries of the records that the receiver holds in the buckets that differ.
struct compare_reply {
  std::vector<std::uint32_t> document_buckets;
  std::vector<std::uint32_t> member_buckets;
  std::vector<document_summary> documents;
  std::vector<member_summary> members;
  /// Rollouts known to the receiver, so that a daemon that joins knows them before it serves.
  std::vector<rollout_state> rollouts = {};

  friend bool operator==(const compare_reply&, const compare_reply&) = default;
};

/// Sends records and requests others by name.
struct transfer_request {
  std::string sender;
  std::string sender_data_centre;
  std::vector<document_version> documents;
  std::vector<member_record> members;
  std::vector<std::string> wanted_documents;
  std::vector<std::string> wanted_members;

  friend bool operator==(const transfer_request&, const transfer_request&) = default;
};

struct transfer_reply {
  std::vector<document_version> documents;
  std::vector<member_record> members;

  friend bool operator==(const transfer_reply&, const transfer_reply&) = default;
};

/// Requests the status of a document version on the daemons of a scope.
struct gather_request {
  std::string sender;
  spread_scope scope;
  std::string service;
  std::uint64_t version = 0;
  milliseconds budget{0};

  friend bool operator==(const gather_request&, const gather_request&) = default;
};

/// A daemon that does not have a version in force, and the reason.
struct lagging_member {
  std::string vm;
  std::string reason;

  friend bool operator==(const lagging_member&, const lagging_member&) = default;
};

/// Counts of the daemons of one data centre by their status. `identity_sum` is the sum of a hash of
/// each vm that responded, by which the requester verifies that exactly the members it knows were
/// counted. `lagging_members` is a bounded sample.
struct data_centre_status {
  std::string region;
  std::string data_centre;
  std::uint32_t in_force = 0;
  std::uint32_t behind = 0;
  std::uint32_t refused = 0;
  std::uint32_t unresponsive = 0;
  std::uint64_t identity_sum = 0;
  std::vector<lagging_member> lagging_members;

  friend bool operator==(const data_centre_status&, const data_centre_status&) = default;
};

struct gather_reply {
  std::vector<data_centre_status> data_centres;

  friend bool operator==(const gather_reply&, const gather_reply&) = default;
};

/// Asks a gate for the state of a request and sets a fence: unless the request was already
/// forwarded to the target, it never will be. With except_waiting, a queued request is not fenced.
struct fence_request {
  std::string sender;
  std::string request_id;
  std::uint64_t incarnation = 0;
  bool except_waiting = false;

  friend bool operator==(const fence_request&, const fence_request&) = default;
};

/// State of a request at a gate.
enum class request_fate {
  kUnknown,         ///< The gate cannot tell, for instance because the daemon has restarted.
  kNeverForwarded,  ///< Not forwarded to the target, and never will be.
  kWaiting,         ///< Queued at the gate.
  kForwarded,       ///< Forwarded to the target, no response yet.
  kResponded        ///< The target's response was sent on.
};

struct fence_reply {
  request_fate fate = request_fate::kUnknown;

  friend bool operator==(const fence_reply&, const fence_reply&) = default;
};

/// Asks a daemon how long ago its documents were known to be the newest of the source.
struct confirm_request {
  std::string sender;
  /// The vm that is asked.
  std::string recipient;
  /// Hash over the documents that the sender holds.
  std::uint64_t document_hash = 0;

  friend bool operator==(const confirm_request&, const confirm_request&) = default;
};

struct confirm_reply {
  /// Whether the rest is valid: the receiver is the vm that was asked, and has a proof.
  bool known = false;
  /// Age of the receiver's own proof when it replied.
  milliseconds age{0};
  /// Whether the receiver reads the source itself at present.
  bool reads_source = false;
  std::uint64_t document_hash = 0;
  /// The highest change number among the receiver's documents.
  std::uint64_t last_change = 0;
  /// The receiver's documents, if their hash differs from the sender's.
  std::vector<document_summary> documents;

  friend bool operator==(const confirm_reply&, const confirm_reply&) = default;
};

}  // namespace catkinmoor
