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

constexpr std::size_t kNamedBreaches = 10;

bj::array Named(const std::vector<std::string>& breaches) {
  bj::array names;
  for (const std::string& each : breaches) {
    if (names.size() < kNamedBreaches) names.emplace_back(each);
  }
  return names;
}

/// Reads whole lines; a last line without an end was cut off by a kill and is passed over.
template <typename Take>
result<done> ForEachLine(const std::string& text, const char* step, Take&& take) {
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
    bj::error_code failed;
    const bj::value line = bj::parse(bj::string_view(text.data() + begin, end - begin), failed);
    if (failed || !line.is_object()) {
      return error{error_kind::kInvalid, step, "", "a line of the ledger is malformed"};
    }
    take(line.as_object());
    begin = end + 1;
  }
  return done{};
}

std::string Text(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

}  // namespace

bool ledger_report::Clean() const {
  return booking_run_twice.empty() && not_run_but_ran.empty() && answered_but_not_run.empty() &&
         wrong.empty();
}

result<ledger_report> CheckLedgers(const std::vector<std::string>& caller_texts,
                                   const std::vector<std::string>& target_texts) {
  ledger_report report;
  std::map<std::string, std::uint64_t> runs;
  for (const std::string& text : target_texts) {
    const auto read = ForEachLine(text, "read target ledger", [&](const bj::object& line) {
      ++runs[Text(line, "request")];
      ++report.run;
    });
    if (!Ok(read)) return Failure(read);
  }
  const auto check = [&](const bj::object& line) {
    const std::string id = Text(line, "request");
    const std::string outcome = Text(line, "outcome");
    const auto found = runs.find(id);
    const std::uint64_t times = found == runs.end() ? 0 : found->second;
    ++report.sent;
    if (outcome == "answered") ++report.answered;
    if (outcome == "not-run") ++report.not_run;
    if (outcome == "unknown") ++report.unknown;
    if (outcome == "broken") ++report.broken;
    if (outcome == "unknown" && times > 0) ++report.unknown_that_ran;
    if (outcome == "wrong") report.wrong.push_back(id);
    if (outcome == "not-run" && times > 0) report.not_run_but_ran.push_back(id);
    if (outcome == "answered" && times == 0) report.answered_but_not_run.push_back(id);
    if (Text(line, "kind") == "booking" && times > 1) report.booking_run_twice.push_back(id);
  };
  for (const std::string& text : caller_texts) {
    const auto read = ForEachLine(text, "read caller ledger", check);
    if (!Ok(read)) return Failure(read);
  }
  return report;
}

std::string FormatReport(const ledger_report& report) {
  return bj::serialize(bj::object{{"clean", report.Clean()},
                                  {"sent", report.sent},
                                  {"answered", report.answered},
                                  {"not_run", report.not_run},
                                  {"unknown", report.unknown},
                                  {"unknown_that_ran", report.unknown_that_ran},
                                  {"broken", report.broken},
                                  {"run", report.run},
                                  {"booking_run_twice", Named(report.booking_run_twice)},
                                  {"not_run_but_ran", Named(report.not_run_but_ran)},
                                  {"answered_but_not_run", Named(report.answered_but_not_run)},
                                  {"wrong", Named(report.wrong)}});
}

}  // namespace catkinmoor
