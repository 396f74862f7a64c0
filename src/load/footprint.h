#pragma once

#include <cstdint>
#include <string>

namespace catkinmoor {

/// Size of a fleet whose state one daemon holds.
struct footprint_settings {
  std::int64_t members = 6'900;
  std::int64_t documents = 880;
  std::int64_t regions = 5;
  std::int64_t data_centres = 18;
};

/// What holding that state costs one daemon.
struct footprint_report {
  double member_bytes = 0;
  double document_bytes = 0;
  double view_us = 0;
  double plan_us = 0;
  double merge_us = 0;
  double offer_us = 0;
  double pick_us = 0;
};

/// Fills the blackboards of one daemon as in a fleet of the size given, and measures them.
footprint_report MeasureFootprint(const footprint_settings& settings);

/// The report as JSON text.
std::string FormatReport(const footprint_settings& settings, const footprint_report& report);

}  // namespace catkinmoor
