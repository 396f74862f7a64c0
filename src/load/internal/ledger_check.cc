#include "load/ledger_check.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <sstream>

namespace catkinmoor {
namespace {

namespace bj = boost::json;

constexpr std::size_t kMaxListedViolations = 10;

bj::array ListViolations(const std::vector<std::string>& violations) {
  bj::array listed;
  for (const std::string& each : violations) {
    if (listed.size() < kMaxListedViolations) listed.emplace_back(each);
  }
  return listed;
}

/// Parses each complete line. A last line without a newline is ignored: its writer was killed while
/// writing it.
template <typename Handler>
result<done> ForEachLine(const std::string& text, const char* step, Handler&& handle) {
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
    bj::error_code failed;
    const bj::value line = bj::parse(bj::string_view(text.data() + begin, end - begin), failed);
    if (failed || !line.is_object()) {
      return error{error_kind::kInvalid, step, "", "a line of the ledger is not a JSON object"};
    }
    handle(line.as_object());
    begin = end + 1;
  }
  return done{};
}

std::string StringMember(const bj::object& object, const char* name) {
  const bj::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

}  // namespace

bool ledger_report::HasNoViolations() const {
  return booking_run_twice.empty() && not_run_but_ran.empty() && answered_but_not_run.empty() &&
         wrong.empty();
}

result<ledger_report> CheckLedgers(const std::vector<std::string>& caller_texts,
                                   const std::vector<std::string>& target_texts) {
  ledger_report report;
  std::map<std::string, std::uint64_t> execution_counts;
  for (const std::string& text : target_texts) {
    const auto read = ForEachLine(text, "read target ledger", [&](const bj::object& line) {
      ++execution_counts[StringMember(line, "request")];
      ++report.run;
    });
    if (!Ok(read)) return Failure(read);
  }
  const auto check_line = [&](const bj::object& line) {
    const std::string id = StringMember(line, "request");
    const std::string outcome = StringMember(line, "outcome");
    const auto found = execution_counts.find(id);
    const std::uint64_t executions = found == execution_counts.end() ? 0 : found->second;
    ++report.sent;
    if (outcome == "answered") ++report.answered;
    if (outcome == "not-run") ++report.not_run;
    if (outcome == "unknown") ++report.unknown;
    if (outcome == "broken") ++report.broken;
    if (outcome == "unknown" && executions > 0) ++report.unknown_that_ran;
    if (outcome == "wrong") report.wrong.push_back(id);
    if (outcome == "not-run" && executions > 0) report.not_run_but_ran.push_back(id);
    if (outcome == "answered" && executions == 0) report.answered_but_not_run.push_back(id);
    if (StringMember(line, "kind") == "booking" && executions > 1)
      report.booking_run_twice.push_back(id);
  };
  for (const std::string& text : caller_texts) {
    const auto read = ForEachLine(text, "read caller ledger", check_line);
    if (!Ok(read)) return Failure(read);
  }
  return report;
}

std::string FormatReport(const ledger_report& report) {
  return bj::serialize(
      bj::object{{"clean", report.HasNoViolations()},
                 {"sent", report.sent},
                 {"answered", report.answered},
                 {"not_run", report.not_run},
                 {"unknown", report.unknown},
                 {"unknown_that_ran", report.unknown_that_ran},
                 {"broken", report.broken},
                 {"run", report.run},
                 {"booking_run_twice", ListViolations(report.booking_run_twice)},
                 {"not_run_but_ran", ListViolations(report.not_run_but_ran)},
                 {"answered_but_not_run", ListViolations(report.answered_but_not_run)},
                 {"wrong", ListViolations(report.wrong)}});
}

}  // namespace catkinmoor
