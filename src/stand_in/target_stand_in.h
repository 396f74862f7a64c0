#pragma once

#include <memory>
#include <string>

#include "framework/base/clock.h"
#include "framework/base/result.h"
#include "framework/json/field_table.h"

namespace catkinmoor {

/// What a target stand-in is told at its start.
struct target_settings {
  std::string service;
  std::string instance;
  std::string address;
  std::string daemon;
  std::string exit;
  json::text_map labels;
  std::int64_t slots = 10;
  milliseconds work{0};
  milliseconds cold_start{0};
  milliseconds renew{1'000};
  std::string ledger;
  std::string crash_path;
};

/// Reads settings, with every fault of them.
std::variant<target_settings, json::problems> ParseTargetSettings(std::string_view text);

/// A back end for tests. It announces itself to its daemon, works for a while on each request,
/// writes every request that it ran to a ledger file before it answers, and leaves gracefully.
///
///   GET /anything             a small JSON answer after the work
///   GET /bytes?count=N        N bytes that follow from their position, with an entity tag and
///   ranges POST /anything            reads the body; the answer carries its length and digest GET
///   /call/SERVICE/path    calls another service through the daemon's exit
class target_stand_in {
 public:
  explicit target_stand_in(target_settings settings);
  ~target_stand_in();

  /// Serves until a termination signal, then leaves gracefully.
  result<done> Run();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

/// The byte that a download has at a position.
inline char PatternByte(std::uint64_t position) {
  return static_cast<char>('a' + (position * 31 + position / 4096) % 26);
}

}  // namespace catkinmoor
