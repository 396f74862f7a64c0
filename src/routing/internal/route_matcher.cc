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
  // A route for GET answers HEAD as well.
  return listed(method) || (method == "HEAD" && listed("GET"));
}

bool HeadersMatch(const route_match& match, const request_view& request) {
  return std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const auto& each) { return request.header(each.first) == each.second; });
}

/// What looking through some of a document's routes yielded.
struct search {
  const route* found = nullptr;
  no_route reason = no_route::kNotFound;
};

search FindIn(const active_document& content, const std::string& host,
              const request_view& request) {
  search result;
  const auto listed = content.by_host.find(host);
  if (listed == content.by_host.end()) return result;
  for (const std::size_t index : listed->second) {
    const route& each = content.content.routes[index];
    if (!PathMatches(each.match, request.path) || !HeadersMatch(each.match, request)) continue;
    if (!MethodMatches(each.match, request.method)) {
      result.reason = no_route::kWrongMethod;
      continue;
    }
    if (each.callers == caller_scope::kInternal && !request.internal_caller) {
      result.reason = no_route::kNotAllowed;
      return result;
    }
    result.found = &each;
    return result;
  }
  return result;
}

}  // namespace

std::variant<const route*, no_route> FindRoute(const active_document& content,
                                               const request_view& request) {
  const search by_host = FindIn(content, LowerCase(request.host), request);
  if (by_host.found != nullptr) return by_host.found;
  if (by_host.reason != no_route::kNotFound || request.host.empty()) return by_host.reason;
  const search anywhere = FindIn(content, "", request);
  if (anywhere.found != nullptr) return anywhere.found;
  return anywhere.reason;
}

}  // namespace catkinmoor
