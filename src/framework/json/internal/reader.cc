#include "framework/json/reader.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse_options.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/visit.hpp>
#include <fstream>
#include <boost/json/monotonic_resource.hpp>
#include <sstream>

namespace catkinmoor::json {
namespace {

constexpr std::size_t kMaxDepth = 32;

bj::parse_options Options() {
  bj::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = kMaxDepth;
  return options;
}

std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view preceding = text.substr(0, std::min(offset, text.size()));
  const auto line = 1 + std::count(preceding.begin(), preceding.end(), '\n');
  const auto newline = preceding.rfind('\n');
  const auto column =
      newline == std::string_view::npos ? preceding.size() + 1 : preceding.size() - newline;
  return "line " + std::to_string(line) + " column " + std::to_string(column);
}

/// Parse handler that collects duplicate keys, of which the DOM parser silently keeps only one.
struct duplicate_key_handler {
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);

  /// Keys of each open object, sorted and compared when it closes. This is cheaper than a set and
  /// stays fast for many keys.
  std::vector<std::vector<std::string>> keys;
  std::string partial_key;
  std::vector<std::string> duplicates;

  bool on_document_begin(bj::error_code&) { return true; }
  bool on_document_end(bj::error_code&) { return true; }
  bool on_object_begin(bj::error_code&) {
    keys.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, bj::error_code&) {
    auto& object_keys = keys.back();
    std::sort(object_keys.begin(), object_keys.end());
    for (std::size_t i = 1; i < object_keys.size(); ++i) {
      if (object_keys[i] == object_keys[i - 1]) duplicates.push_back(object_keys[i]);
    }
    keys.pop_back();
    return true;
  }
  bool on_array_begin(bj::error_code&) { return true; }
  bool on_array_end(std::size_t, bj::error_code&) { return true; }
  bool on_key_part(bj::string_view text, std::size_t, bj::error_code&) {
    partial_key.append(text.data(), text.size());
    return true;
  }
  bool on_key(bj::string_view text, std::size_t, bj::error_code&) {
    partial_key.append(text.data(), text.size());
    keys.back().push_back(std::move(partial_key));
    partial_key.clear();
    return true;
  }
  bool on_string_part(bj::string_view, std::size_t, bj::error_code&) { return true; }
  bool on_string(bj::string_view, std::size_t, bj::error_code&) { return true; }
  bool on_number_part(bj::string_view, bj::error_code&) { return true; }
  bool on_int64(std::int64_t, bj::string_view, bj::error_code&) { return true; }
  bool on_uint64(std::uint64_t, bj::string_view, bj::error_code&) { return true; }
  bool on_double(double, bj::string_view, bj::error_code&) { return true; }
  bool on_bool(bool, bj::error_code&) { return true; }
  bool on_null(bj::error_code&) { return true; }
  bool on_comment_part(bj::string_view, bj::error_code&) { return true; }
  bool on_comment(bj::string_view, bj::error_code&) { return true; }
};

std::vector<std::string> DuplicateKeys(std::string_view text) {
  bj::basic_parser<duplicate_key_handler> parser(Options());
  bj::error_code failed;
  parser.write_some(false, text.data(), text.size(), failed);
  return parser.handler().duplicates;
}

}  // namespace

std::string FormatProblems(const problems& found) {
  std::string text;
  for (const problem& each : found) {
    if (!text.empty()) text += "\n";
    text += (each.pointer.empty() ? "/" : each.pointer) + ": " + each.message;
  }
  return text;
}

std::variant<bj::value, problems> ParseWithComments(std::string_view text) {
  // The value is freed as a whole, so its parts come from one arena instead of the heap.
  bj::parser parser({}, Options());
  parser.reset(bj::make_shared_resource<bj::monotonic_resource>());
  bj::error_code failed;
  const std::size_t consumed = parser.write(text.data(), text.size(), failed);
  if (failed) {
    const std::size_t offset = failed == bj::error::incomplete ? text.size() : consumed;
    return problems{{LineAndColumn(text, offset), failed.message()}};
  }
  problems found;
  for (const std::string& key : DuplicateKeys(text)) {
    AddProblem(found, "", "duplicate key \"" + key + "\" in one object");
  }
  if (!found.empty()) return found;
  return parser.release();
}

result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return error{error_kind::kNotFound, "read file", "", "cannot open " + path};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void AddProblem(problems& found, std::string pointer, std::string message, problem_kind kind) {
  found.push_back({std::move(pointer), std::move(message), kind});
}

std::string ChildPointer(const std::string& parent, std::string_view key) {
  std::string pointer = parent + "/";
  for (const char each : key) {
    if (each == '~') {
      pointer += "~0";
    } else if (each == '/') {
      pointer += "~1";
    } else {
      pointer += each;
    }
  }
  return pointer;
}

}  // namespace catkinmoor::json
