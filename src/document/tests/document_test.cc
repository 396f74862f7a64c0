#include "document/document.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

namespace {

using catkinmoor::document;
using catkinmoor::ParseDocument;
using catkinmoor::ReadAcceptedDocument;
using catkinmoor::route;
using catkinmoor::SerializeDocument;
using catkinmoor::workspace;
using catkinmoor::json::problems;

std::string WithRoutes(const std::string& routes) {
  return R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [)" + routes + "]}";
}

bool HasProblemAt(const std::variant<document, problems>& parsed, const std::string& pointer) {
  const auto* found = std::get_if<problems>(&parsed);
  return found != nullptr && std::any_of(found->begin(), found->end(),
                                         [&](const auto& each) { return each.pointer == pointer; });
}

}  // namespace

Test(document, with_comments_and_all_required_fields_is_parsed) {
  const auto parsed = ParseDocument(WithRoutes(
      R"(/* browse */ {"name": "a", "match": {"prefix": "/"}, "class": "browse", "repeatable": true, "attempts": 2},)"));
  cr_assert(std::holds_alternative<document>(parsed));
  cr_assert(std::get<document>(parsed).routes.front().attempts == 2);
}

Test(document, with_several_problems_reports_each_with_its_pointer) {
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

Test(document, that_is_not_json_reports_line_and_column) {
  const auto parsed = ParseDocument("{\n  \"schema\": 1,\n  \"service\" \"x\"\n}");
  cr_assert(HasProblemAt(parsed, "line 3 column 13"));
}

Test(document, with_a_duplicate_key_is_refused) {
  const auto parsed = ParseDocument(R"({"schema": 1, "schema": 1})");
  cr_assert(std::holds_alternative<problems>(parsed));
}

Test(document, with_an_unreachable_route_is_refused) {
  const auto parsed = ParseDocument(
      WithRoutes(R"({"name": "a", "match": {"prefix": "/"}, "class": "browse", "repeatable": false},
                    {"name": "b", "match": {"methods": ["GET"], "exact": "/x"}, "class": "browse", "repeatable": false})"));
  cr_assert(HasProblemAt(parsed, "/routes/1/match"));
}

Test(document, with_a_repeatable_booking_route_is_refused) {
  const auto parsed = ParseDocument(WithRoutes(
      R"({"name": "a", "match": {"prefix": "/"}, "class": "booking", "repeatable": true})"));
  cr_assert(HasProblemAt(parsed, "/routes/0/repeatable"));
}

Test(document, with_several_attempts_on_a_route_that_is_not_repeatable_is_refused) {
  const auto parsed = ParseDocument(WithRoutes(
      R"({"name": "a", "match": {"prefix": "/"}, "class": "internal", "repeatable": false, "attempts": 2})"));
  cr_assert(HasProblemAt(parsed, "/routes/0/attempts"));
}

Test(document, over_the_size_limit_is_refused) {
  const std::string text(catkinmoor::kMaxDocumentBytes + 1, ' ');
  cr_assert(std::holds_alternative<problems>(ParseDocument(text)));
}

namespace {

/// The parts of a route's match that this test varies.
struct simple_match {
  std::string host;
  std::string path;
  bool exact = false;
};

bool Covers(const simple_match& earlier, const simple_match& later) {
  const bool host = earlier.host.empty() || earlier.host == later.host;
  const bool path = earlier.exact ? later.exact && earlier.path == later.path
                                  : later.path.compare(0, earlier.path.size(), earlier.path) == 0;
  return host && path;
}

std::string RouteText(const simple_match& match, std::size_t number) {
  const std::string hosts = match.host.empty() ? "" : R"("hosts": [")" + match.host + R"("], )";
  const std::string path = match.exact ? "exact" : "prefix";
  return R"({"name": "r)" + std::to_string(number) + R"(", "match": {)" + hosts + "\"" + path +
         R"(": ")" + match.path + R"("}, "class": "browse", "repeatable": false})";
}

}  // namespace

Test(document, with_random_routes_refuses_those_that_a_pairwise_comparison_finds_unreachable) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<simple_match> matches;
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
      matches.push_back({*rc::gen::element<std::string>("", "a.example", "b.example"),
                         "/" + *rc::gen::element<std::string>("x", "x/y", "x/y/z", "y", "xx"),
                         *rc::gen::arbitrary<bool>()});
      text += (i == 0 ? "" : ",") + RouteText(matches.back(), i);
    }
    const auto parsed = ParseDocument(WithRoutes(text));
    for (std::size_t i = 0; i < count; ++i) {
      const bool unreachable =
          std::any_of(matches.begin(), matches.begin() + i,
                      [&](const auto& each) { return Covers(each, matches[i]); });
      RC_ASSERT(HasProblemAt(parsed, "/routes/" + std::to_string(i) + "/match") == unreachable);
    }
  }));
}

namespace {

/// A route that an author may not submit in some ways, as an operator's platform may accept it.
route ArbitraryRoute(std::size_t number) {
  route drawn;
  drawn.name = *rc::gen::element<std::string>("r", "r-" + std::to_string(number));
  drawn.match.prefix = *rc::gen::element<std::string>("/", "/x/", "x/");
  drawn.match.hosts = {*rc::gen::element<std::string>("a.example", "b.example")};
  drawn.repeatable = *rc::gen::arbitrary<bool>();
  drawn.deadline = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000));
  drawn.priority = *rc::gen::inRange<std::int64_t>(-1, 5'000);
  drawn.attempts = *rc::gen::inRange<std::int64_t>(0, 20);
  drawn.queue = *rc::gen::inRange<std::int64_t>(0, 1'000'000);
  drawn.splits = {{{}, *rc::gen::inRange<std::int64_t>(0, 10'000'000), "shop"}};
  return drawn;
}

}  // namespace

// Guards against an accepted configuration that is never in force (config-42).
Test(document, accepted_with_any_content_is_read_back_equal) {
  cr_assert(rc::check([] {
    document content;
    content.service = *rc::gen::element<std::string>("mesh", "Mesh", "a_b");
    content.owner = "operator";
    const auto routes = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t i = 0; i < routes; ++i) content.routes.push_back(ArbitraryRoute(i));
    const auto workspaces = *rc::gen::inRange<std::size_t>(0, 4);
    for (std::size_t i = 0; i < workspaces; ++i) {
      workspace added;
      added.name = *rc::gen::element<std::string>("acme", "beta");
      added.key_digests = {*rc::gen::element<std::string>("k1", "k2")};
      added.requests_per_second = *rc::gen::element(0.0, 1e12);
      content.workspaces.push_back(added);
    }
    const auto read = ReadAcceptedDocument(SerializeDocument(content));
    RC_ASSERT(std::holds_alternative<document>(read));
    RC_ASSERT(std::get<document>(read) == content);
  }));
}

Test(document, accepted_with_more_routes_and_bytes_than_an_author_may_submit_is_read_whole) {
  constexpr std::size_t kRoutes = 20'000;
  document content;
  content.service = "mesh";
  content.owner = "operator";
  for (std::size_t i = 0; i < kRoutes; ++i) {
    route added;
    added.name = "r-" + std::to_string(i);
    added.match.prefix = "/" + added.name + "/";
    content.routes.push_back(added);
  }
  const std::string text = SerializeDocument(content);
  cr_assert_gt(text.size(), catkinmoor::kMaxDocumentBytes);
  const auto read = ReadAcceptedDocument(text);
  cr_assert(std::holds_alternative<document>(read));
  cr_assert_eq(std::get<document>(read).routes.size(), kRoutes);
  cr_assert(std::holds_alternative<problems>(ParseDocument(text)));
}

Test(document, accepted_that_cannot_be_interpreted_is_refused) {
  for (const char* text :
       {"", "{", "[]", R"({"schema": 1})",
        R"({"schema": 1, "service": 1, "owner": "a", "routes": []})",
        R"({"schema": 2, "service": "a", "owner": "a", "routes": []})",
        R"({"schema": 1, "service": "a", "owner": "a", "routes": [{}]})",
        R"({"schema": 1, "service": "a", "owner": "a", "routes": [], "more": 1})"}) {
    cr_assert(std::holds_alternative<problems>(ReadAcceptedDocument(text)), "%s", text);
  }
}
