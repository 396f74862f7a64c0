#include "operator_client/operator_client.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <sstream>

#include "framework/http/client.h"

namespace catkinmoor {
namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

}  // namespace

exit_code ExitCodeOf(const operator_response& response) {
  switch (response.status) {
    case 200:
    case 202:
      return exit_code::kOk;
    case 400:
    case 413:
    case 422:
      return exit_code::kInvalid;
    case 401:
    case 403:
      return exit_code::kNotAllowed;
    case 404:
      return exit_code::kNotFound;
    case 409:
      return exit_code::kConflict;
    case 503:
      break;
    default:
      return exit_code::kInternal;
  }
  const auto* object = response.body.if_object();
  const auto* failure = object == nullptr ? nullptr : object->if_contains("error");
  const bool undecided = failure != nullptr && failure->is_object() &&
                         failure->as_object().contains("kind") &&
                         failure->as_object().at("kind") == "undecided";
  return undecided ? exit_code::kUndecided : exit_code::kUnavailable;
}

operator_client::operator_client(std::vector<endpoint> daemons, std::string token,
                                 milliseconds timeout)
    : daemons_(std::move(daemons)), token_(std::move(token)), timeout_(timeout) {}

result<operator_response> operator_client::Call(const std::string& method,
                                                const std::string& target,
                                                const std::string& body) {
  error last_error{error_kind::kInvalid, "call", "", "no daemon address given"};
  for (const endpoint& daemon : daemons_) {
    http::request message{method, target, {}, body};
    message.headers["authorization"] = "Bearer " + token_;
    auto response = http::SendBlocking(daemon, message, timeout_);
    if (!Ok(response)) {
      last_error = Failure(response);
      continue;
    }
    boost::json::error_code parse_error;
    auto parsed = boost::json::parse(Value(response).body, parse_error);
    if (parse_error) parsed = boost::json::string(Value(response).body);
    return operator_response{Value(response).status, std::move(parsed)};
  }
  return last_error;
}

std::string DiffLines(const std::string& old_text, const std::string& new_text) {
  const auto old_lines = SplitLines(old_text);
  const auto new_lines = SplitLines(new_text);
  // common[i][j] is the length of the longest common subsequence of the lines from i and j on.
  std::vector<std::vector<std::size_t>> common(old_lines.size() + 1,
                                               std::vector<std::size_t>(new_lines.size() + 1));
  for (std::size_t i = old_lines.size(); i-- > 0;) {
    for (std::size_t j = new_lines.size(); j-- > 0;) {
      common[i][j] = old_lines[i] == new_lines[j] ? common[i + 1][j + 1] + 1
                                                  : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::string diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    const bool equal = i < old_lines.size() && j < new_lines.size() && old_lines[i] == new_lines[j];
    if (equal) {
      diff += "  " + old_lines[i] + "\n";
      ++i;
      ++j;
    } else if (j == new_lines.size() ||
               (i < old_lines.size() && common[i + 1][j] >= common[i][j + 1])) {
      diff += "- " + old_lines[i++] + "\n";
    } else {
      diff += "+ " + new_lines[j++] + "\n";
    }
  }
  return diff;
}

}  // namespace catkinmoor
