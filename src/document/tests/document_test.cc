#include "document/document.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

namespace {

using catkinmoor::document;
using catkinmoor::ParseDocument;
using catkinmoor::json::problems;

std::string WithRoutes(const std::string& routes) {
  return R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [)" + routes + "]}";
}

bool HasProblemAt(const std::variant<document, problems>& parsed, const std::string& place) {
  const auto* found = std::get_if<problems>(&parsed);
  return found != nullptr && std::any_of(found->begin(), found->end(),
                                         [&](const auto& each) { return each.place == place; });
}

}  // namespace

Test(document, with_comments_and_all_required_fields_is_parsed) {
  const auto parsed = ParseDocument(WithRoutes(
      R"(/* browse */ {"name": "a", "match": {"prefix": "/"}, "class": "browse", "repeatable": true, "attempts": 2},)"));
  cr_assert(std::holds_alternative<document>(parsed));
  cr_assert(std::get<document>(parsed).routes.front().attempts == 2);
}

Test(document, with_several_faults_reports_each_with_its_place) {
  const auto parsed = ParseDocument(
      R"({"schema": 9, "service": "Slot Board", "colour": 1,
          "routes": [{"name": "a", "match": {"prefix": 3}, "class": "walk", "deadline_ms": 0}]})");
  cr_assert(HasProblemAt(parsed, "/schema"));
  cr_assert(HasProblemAt(parsed, "/service"));
  cr_assert(HasProblemAt(parsed, "/colour"));
  cr_assert(HasProblemAt(parsed, "/owner"));
  cr_assert(HasProblemAt(parsed, "/routes/0/match/prefix"));
  cr_assert(HasProblemAt(parsed, "/routes/0/class"));
  cr_assert(HasProblemAt(parsed, "/routes/0/deadline_ms"));
}

Test(document, that_is_no_json_names_line_and_column) {
  const auto parsed = ParseDocument("{\n  \"schema\": 1,\n  \"service\" \"x\"\n}");
  cr_assert(HasProblemAt(parsed, "line 3 column 13"));
}

Test(document, with_a_key_twice_is_refused) {
  const auto parsed = ParseDocument(R"({"schema": 1, "schema": 1})");
  cr_assert(std::holds_alternative<problems>(parsed));
}

Test(document, with_an_unreachable_route_is_refused) {
  const auto parsed = ParseDocument(
      WithRoutes(R"({"name": "a", "match": {"prefix": "/"}, "class": "browse", "repeatable": false},
                    {"name": "b", "match": {"methods": ["GET"], "exact": "/x"}, "class": "browse", "repeatable": false})"));
  cr_assert(HasProblemAt(parsed, "/routes/1/match"));
}

Test(document, with_a_booking_that_repeats_is_refused) {
  const auto parsed = ParseDocument(WithRoutes(
      R"({"name": "a", "match": {"prefix": "/"}, "class": "booking", "repeatable": true})"));
  cr_assert(HasProblemAt(parsed, "/routes/0/repeatable"));
}

Test(document, with_attempts_on_a_route_that_may_not_repeat_is_refused) {
  const auto parsed = ParseDocument(WithRoutes(
      R"({"name": "a", "match": {"prefix": "/"}, "class": "internal", "repeatable": false, "attempts": 2})"));
  cr_assert(HasProblemAt(parsed, "/routes/0/attempts"));
}

Test(document, over_the_size_limit_is_refused) {
  const std::string text(catkinmoor::kDocumentBytes + 1, ' ');
  cr_assert(std::holds_alternative<problems>(ParseDocument(text)));
}

namespace {

/// A route's match as far as the check of unreachable routes is concerned.
struct small_match {
  std::string host;
  std::string path;
  bool exact = false;
};

bool Takes(const small_match& earlier, const small_match& later) {
  const bool host = earlier.host.empty() || earlier.host == later.host;
  const bool path = earlier.exact ? later.exact && earlier.path == later.path
                                  : later.path.compare(0, earlier.path.size(), earlier.path) == 0;
  return host && path;
}

std::string RouteText(const small_match& match, std::size_t number) {
  const std::string hosts = match.host.empty() ? "" : R"("hosts": [")" + match.host + R"("], )";
  const std::string path = match.exact ? "exact" : "prefix";
  return R"({"name": "r)" + std::to_string(number) + R"(", "match": {)" + hosts + "\"" + path +
         R"(": ")" + match.path + R"("}, "class": "browse", "repeatable": false})";
}

}  // namespace

Test(document, with_any_routes_refuses_the_ones_that_a_comparison_of_all_pairs_finds_unreachable) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<small_match> matches;
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
      matches.push_back({*rc::gen::element<std::string>("", "a.example", "b.example"),
                         "/" + *rc::gen::element<std::string>("x", "x/y", "x/y/z", "y", "xx"),
                         *rc::gen::arbitrary<bool>()});
      text += (i == 0 ? "" : ",") + RouteText(matches.back(), i);
    }
    const auto parsed = ParseDocument(WithRoutes(text));
    for (std::size_t i = 0; i < count; ++i) {
      const bool behind = std::any_of(matches.begin(), matches.begin() + i,
                                      [&](const auto& each) { return Takes(each, matches[i]); });
      RC_ASSERT(HasProblemAt(parsed, "/routes/" + std::to_string(i) + "/match") == behind);
    }
  }));
}
