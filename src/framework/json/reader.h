#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "framework/base/result.h"

namespace catkinmoor::json {

namespace bj = boost::json;

/// Whether a problem keeps a text from being interpreted, or the text states a value that can be
/// used but lies outside the permitted range.
enum class problem_kind { kUnreadable, kOutOfRange };

/// One problem found in a JSON text. `pointer` is a JSON pointer, or "line L column C" when the
/// text is not valid JSON.
struct problem {
  std::string pointer;
  std::string message;
  problem_kind kind = problem_kind::kUnreadable;

  friend bool operator==(const problem&, const problem&) = default;
};

/// All problems found in one pass.
using problems = std::vector<problem>;

/// Formats all problems, one per line, each with its pointer.
std::string FormatProblems(const problems& found);

/// Parses JSON that may contain comments and trailing commas. A syntax error is reported with its
/// line and column; a duplicate key in an object is an error as well.
std::variant<bj::value, problems> ParseWithComments(std::string_view text);

/// Reads a whole file. Fails with kNotFound if it cannot be opened.
result<std::string> ReadFile(const std::string& path);

void AddProblem(problems& found, std::string pointer, std::string message,
                problem_kind kind = problem_kind::kUnreadable);

/// The JSON pointer of a member of the parent, escaped as RFC 6901 requires.
std::string ChildPointer(const std::string& parent, std::string_view key);

}  // namespace catkinmoor::json
