#include "routing/route_matcher.h"

#include <algorithm>

#include "framework/base/text.h"

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
  // A route for GET matches HEAD as well.
  return listed(method) || (method == "HEAD" && listed("GET"));
}

bool HeadersMatch(const route_match& match, const request_view& request) {
  return std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const auto& each) { return request.header(each.first) == each.second; });
}

/// Result of the search among the routes of one host.
struct route_search {
  const route* found = nullptr;
  route_mismatch reason = route_mismatch::kNotFound;
};

route_search FindForHost(const parsed_document& content, const std::string& host,
                         const request_view& request) {
  route_search result;
  const auto listed = content.routes_by_host.find(host);
  if (listed == content.routes_by_host.end()) return result;
  for (const std::size_t index : listed->second) {
    const route& each = content.content.routes[index];
    if (!PathMatches(each.match, request.path) || !HeadersMatch(each.match, request)) continue;
    if (!MethodMatches(each.match, request.method)) {
      result.reason = route_mismatch::kWrongMethod;
      continue;
    }
    if (each.callers == caller_scope::kInternal && !request.internal_caller) {
      result.reason = route_mismatch::kCallerNotAllowed;
      return result;
    }
    result.found = &each;
    return result;
  }
  return result;
}

}  // namespace

std::variant<const route*, route_mismatch> FindRoute(const parsed_document& content,
                                                     const request_view& request) {
  const route_search by_host = FindForHost(content, LowerCase(request.host), request);
  if (by_host.found != nullptr) return by_host.found;
  if (by_host.reason != route_mismatch::kNotFound || request.host.empty()) return by_host.reason;
  const route_search any_host = FindForHost(content, "", request);
  if (any_host.found != nullptr) return any_host.found;
  return any_host.reason;
}

}  // namespace catkinmoor
