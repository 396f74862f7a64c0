#pragma once

#include <cstdint>
#include <string>

namespace catkinmoor {

/// Size of the fleet whose state one daemon holds.
struct footprint_settings {
  std::int64_t members = 6'900;
  std::int64_t documents = 880;
  std::int64_t regions = 5;
  std::int64_t data_centres = 18;
};

/// Memory of one daemon per member and document, and the mean time of its operations on that state.
struct footprint_report {
  double member_bytes = 0;
  double document_bytes = 0;
  double view_us = 0;   ///< Merging a change of a member and building a new view.
  double plan_us = 0;   ///< Planning a spread to all regions.
  double merge_us = 0;  ///< Merging a new member into the table.
  double offer_us = 0;  ///< Parsing and holding a document.
  double pick_us = 0;   ///< Selecting the target of a request.
};

/// Fills the member table and document board of one daemon as in a fleet of the given size, and
/// measures their memory and operations.
footprint_report MeasureFootprint(const footprint_settings& settings);

/// The report as JSON text.
std::string FormatReport(const footprint_settings& settings, const footprint_report& report);

}  // namespace catkinmoor
