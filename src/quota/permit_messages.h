#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/clock.h"

namespace catkinmoor {

/// What became of permits of one grant since the previous message.
struct permit_settlement {
  /// Sequence number of the ask that was answered with the grant.
  std::uint64_t grant = 0;
  std::uint32_t used = 0;
  std::uint32_t returned = 0;

  friend bool operator==(const permit_settlement&, const permit_settlement&) = default;
};

struct workspace_ask {
  std::string workspace;
  /// Recent requests per second at the holder.
  double demand = 0;
  std::uint32_t wanted = 0;
  std::vector<permit_settlement> settlements;

  friend bool operator==(const workspace_ask&, const workspace_ask&) = default;
};

/// Asks the quota authority for permits and settles earlier ones, for all workspaces at once.
struct permit_ask {
  std::string sender;
  /// Number of the sender's start; its sequence numbers begin again with each.
  std::uint64_t incarnation = 0;
  /// Rises with each message of a start, so that none takes effect twice or out of order.
  std::uint64_t sequence = 0;
  std::string recipient;
  /// Epoch of the authority that is asked; the settlements belong to it.
  std::uint64_t epoch = 0;
  std::vector<workspace_ask> workspaces;

  friend bool operator==(const permit_ask&, const permit_ask&) = default;
};

enum class permit_verdict {
  kAnswered,      ///< The grants are valid.
  kNotAuthority,  ///< The receiver is not the authority, or it is not the vm that was meant.
  kOtherEpoch,    ///< The receiver is the authority of another epoch, which the reply states.
  kOutOfOrder     ///< A later message, or one of a later start, was received before.
};

struct workspace_grant {
  std::string workspace;
  std::uint32_t granted = 0;
  /// How far ahead of its demand the holder may ask.
  milliseconds ahead{0};
  /// Time after which asking again may succeed, if nothing was granted.
  milliseconds retry_after{0};
  /// Whether nothing was granted because the workspace is over its limit.
  bool over_limit = false;

  friend bool operator==(const workspace_grant&, const workspace_grant&) = default;
};

struct permit_reply {
  permit_verdict verdict = permit_verdict::kNotAuthority;
  std::uint64_t sequence = 0;
  /// The authority's epoch and vm as far as the receiver knows them.
  std::uint64_t epoch = 0;
  std::string authority;
  std::vector<workspace_grant> grants;
  /// Control endpoint of the authority, if the receiver is not the authority itself.
  std::string control = {};

  friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

}  // namespace catkinmoor
