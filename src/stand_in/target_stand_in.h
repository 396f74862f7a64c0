#pragma once

#include <memory>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/result.h"
#include "framework/json/field_table.h"

namespace catkinmoor {

/// Settings of a target stand-in.
struct target_settings {
  std::string service;
  std::string instance;
  std::string address;
  std::string daemon;
  std::string exit;
  json::string_map labels;
  std::int64_t slots = 10;
  milliseconds work{0};
  milliseconds cold_start{0};
  milliseconds announce_interval{1'000};
  std::string ledger_path;
  std::string crash_path;
};

/// Parses settings. Returns all problems found if they are not valid.
std::variant<target_settings, json::problems> ParseTargetSettings(std::string_view text);

/// A back end for tests. Announces itself to its daemon, simulates work for each request, writes
/// every request that it executes to a ledger file before it responds, and drains before it stops.
///
/// - GET /anything: returns a small JSON object after the work.
/// - GET /bytes?count=N: returns N bytes of the PatternByte pattern with an entity tag, or the
///   requested range of them.
/// - POST /anything: reads the body; the response holds its length and digest.
/// - GET /call/SERVICE/path: calls another service through the daemon's exit.
class target_stand_in {
 public:
  explicit target_stand_in(target_settings settings);
  ~target_stand_in();

  /// Serves until a termination signal, then drains and returns.
  result<done> Run();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

/// The byte at a position of a download. It depends only on the position, so that the receiver can
/// check every byte.
inline char PatternByte(std::uint64_t position) {
  return static_cast<char>('a' + (position * 31 + position / 4096) % 26);
}

}  // namespace catkinmoor
