#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"

namespace catkinmoor {

/// Relative weights of the kinds of request in a load.
struct load_mix {
  std::int64_t browse = 8;
  std::int64_t booking = 1;
  std::int64_t download = 0;
};

/// Settings of a load run. If requests_per_s is 0, each caller sends its next request as soon as
/// the previous one has ended.
struct load_settings {
  std::vector<endpoint> entries;
  std::string service = "slotboard";
  std::int64_t callers = 10;
  double seconds = 5;
  double requests_per_s = 0;
  load_mix mix;
  std::int64_t download_bytes = 1'000'000;
  std::int64_t work_ms = 0;
  milliseconds timeout{10'000};
  std::string ledger_path;
  std::uint64_t seed = 1;
};

}  // namespace catkinmoor
