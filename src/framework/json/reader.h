#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "framework/base/result.h"

namespace catkinmoor::json {

namespace bj = boost::json;

/// One fault found in a JSON text. The place is a JSON pointer, or "line L column C" where the
/// text is no JSON at all.
struct problem {
  std::string place;
  std::string message;

  friend bool operator==(const problem&, const problem&) = default;
};

/// Every fault found in one pass.
using problems = std::vector<problem>;

/// All problems, one a line, each with its place.
std::string Describe(const problems& found);

/// Parses JSON that may hold comments and trailing commas. A syntax error is reported with its line
/// and column; a key given twice in one object is an error too.
std::variant<bj::value, problems> ParseWithComments(std::string_view text);

/// Reads a whole file. Fails with kNotFound when it cannot be opened.
result<std::string> ReadFile(const std::string& path);

/// Appends a problem.
void Report(problems& found, std::string place, std::string message);

/// The JSON pointer of a member below a parent pointer, escaped as RFC 6901 asks.
std::string Child(const std::string& parent, std::string_view key);

}  // namespace catkinmoor::json
