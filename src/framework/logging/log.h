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

/// Starts glog so that every line is one JSON object on standard output. Called once, by main.
void Start(const std::string& program, bool verbose);

/// Count of lines that were dropped because nobody read them in time.
std::uint64_t DroppedLines();

/// Writes one line: the event's name and its values.
void Info(std::string_view event, std::initializer_list<item> items = {});
void Warning(std::string_view event, std::initializer_list<item> items = {});

/// Writes one line for a failure, with its step, peer and message.
void Warning(std::string_view event, const error& failure);

}  // namespace catkinmoor::logging
