#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "framework/base/result.h"

namespace catkinmoor::logging {

/// One named value of a log line.
struct item {
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;
};

/// Initialises glog to write each line as one JSON object to standard output. Call once, from main.
void Start(const std::string& program, bool verbose);

/// Number of lines dropped because standard output was not read fast enough.
std::uint64_t DroppedLines();

/// Writes one line with the text of the event and its values.
void Info(std::string_view event, std::initializer_list<item> items = {});
void Warning(std::string_view event, std::initializer_list<item> items = {});

/// Writes one line for a failure, with its kind, step, peer and message.
void Warning(std::string_view event, const error& failure);

}  // namespace catkinmoor::logging
