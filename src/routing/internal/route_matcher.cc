#include "routing/route_matcher.h"

#include <algorithm>

namespace catkinmoor {
namespace {

bool PathMatches(const route_match& match, std::string_view path) {
  if (!match.exact.empty()) return path == match.exact;
  return path.substr(0, match.prefix.size()) == match.prefix;
}

bool MethodMatches(const route_match& match, std::string_view method) {
  if (match.methods.empty()) return true;
  const auto listed = [&](std::string_view name) {
    return std::find(match.methods.begin(), match.methods.end(), name) != match.methods.end();
  };
  // A route for GET answers HEAD as well.
  return listed(method) || (method == "HEAD" && listed("GET"));
}

bool HeadersMatch(const route_match& match, const request_view& request) {
  return std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const auto& each) { return request.header(each.first) == each.second; });
}

}  // namespace

std::variant<const route*, no_route> FindRoute(const document& content,
                                               const request_view& request) {
  no_route reason = no_route::kNotFound;
  for (const route& each : content.routes) {
    if (!PathMatches(each.match, request.path) || !HeadersMatch(each.match, request)) continue;
    if (!MethodMatches(each.match, request.method)) {
      reason = no_route::kWrongMethod;
      continue;
    }
    if (each.callers == caller_scope::kInternal && !request.internal_caller) {
      return no_route::kNotAllowed;
    }
    return &each;
  }
  return reason;
}

}  // namespace catkinmoor
