#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/result.h"

namespace catkinmoor {

/// Result of comparing the callers' ledgers with the targets'. The vectors hold the ids of the
/// requests that violate a guarantee.
struct ledger_report {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t broken = 0;
  std::uint64_t run = 0;
  std::uint64_t unknown_that_ran = 0;
  std::vector<std::string> booking_run_twice;
  std::vector<std::string> not_run_but_ran;
  std::vector<std::string> answered_but_not_run;
  std::vector<std::string> wrong;

  /// Whether no guarantee was violated.
  bool HasNoViolations() const;
};

/// Compares the texts of ledgers. Fails if a line is malformed; an incomplete last line is ignored.
result<ledger_report> CheckLedgers(const std::vector<std::string>& caller_texts,
                                   const std::vector<std::string>& target_texts);

/// The report as JSON text.
std::string FormatReport(const ledger_report& report);

}  // namespace catkinmoor
