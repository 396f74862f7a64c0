#include "document/document.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "framework/base/text.h"
#include "framework/json/field_table.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;
using json::AddProblem;
using json::ChildPointer;
using json::custom_member;
using json::field;
using json::problems;

constexpr std::size_t kMaxServiceNameLength = 63;
constexpr std::size_t kMaxRoutes = 4'096;
constexpr double kMaxDurationMs = 600'000;
constexpr double kMaxAttempts = 5;
constexpr double kMaxRequestsPerTarget = 100'000;
constexpr double kLowestPriority = 1'000;
constexpr double kMaxFleetBurst = 1'000'000;
constexpr double kMaxRequestRate = 1e9;

/// An enumeration value and its name in documents.
template <typename Enum>
struct named_value {
  std::string_view name;
  Enum value;
};

constexpr std::array<named_value<route_class>, 4> kRouteClassNames = {
    {{"booking", route_class::kBooking},
     {"internal", route_class::kInternal},
     {"browse", route_class::kBrowse},
     {"download", route_class::kDownload}}};
constexpr std::array<named_value<caller_scope>, 2> kCallerScopeNames = {
    {{"any", caller_scope::kAny}, {"internal", caller_scope::kInternal}}};
constexpr std::array<named_value<locality>, 4> kLocalityNames = {
    {{"nearest", locality::kNearest},
     {"region", locality::kRegion},
     {"any", locality::kAny},
     {"balanced", locality::kBalanced}}};

template <typename Enum, std::size_t kCount>
void ReadEnum(const bj::value& from, const std::string& pointer,
              const std::array<named_value<Enum>, kCount>& permitted_values, Enum& to,
              problems& found) {
  std::string permitted;
  for (const auto& each : permitted_values) {
    if (from.is_string() && each.name == std::string_view(from.as_string())) {
      to = each.value;
      return;
    }
    permitted += (permitted.empty() ? "" : ", ") + std::string(each.name);
  }
  AddProblem(found, pointer, "must be one of " + permitted);
}

template <typename Enum, std::size_t kCount>
std::string_view EnumName(const std::array<named_value<Enum>, kCount>& permitted_values,
                          Enum value) {
  return std::find_if(permitted_values.begin(), permitted_values.end(),
                      [&](const auto& each) { return each.value == value; })
      ->name;
}

const std::array<field<route_match>, 5> kMatchFields = {{
    {"hosts", &route_match::hosts, "Hosts that match; all when absent."},
    {"methods", &route_match::methods, "Methods that match; all when absent."},
    {"prefix", &route_match::prefix, "Path prefix that matches."},
    {"exact", &route_match::exact, "Full path that matches."},
    {"headers", &route_match::headers, "Header values that must all be present."},
}};

const std::array<field<route_split>, 3> kSplitFields = {{
    {"service", &route_split::service, "Service that gets this share; the document's when absent."},
    {"labels", &route_split::labels, "Labels of the targets that get this share."},
    {"weight", &route_split::weight, "Share relative to the other splits.", true, 0, 1'000'000},
}};

void ReadMatch(const bj::value& from, const std::string& pointer, route& to, problems& found) {
  json::ReadObject<route_match>(from, pointer, kMatchFields, to.match, found);
}
bj::value WriteMatch(const route& from) {
  return json::WriteNonDefaults<route_match>(from.match, kMatchFields);
}
void ReadClass(const bj::value& from, const std::string& pointer, route& to, problems& found) {
  ReadEnum(from, pointer, kRouteClassNames, to.traffic_class, found);
}
bj::value WriteClass(const route& from) {
  return bj::string(EnumName(kRouteClassNames, from.traffic_class));
}
void ReadCallers(const bj::value& from, const std::string& pointer, route& to, problems& found) {
  ReadEnum(from, pointer, kCallerScopeNames, to.callers, found);
}
bj::value WriteCallers(const route& from) {
  return bj::string(EnumName(kCallerScopeNames, from.callers));
}
void ReadLocality(const bj::value& from, const std::string& pointer, route& to, problems& found) {
  ReadEnum(from, pointer, kLocalityNames, to.target_locality, found);
}
bj::value WriteLocality(const route& from) {
  return bj::string(EnumName(kLocalityNames, from.target_locality));
}
void ReadSplits(const bj::value& from, const std::string& pointer, route& to, problems& found) {
  json::ReadArray<route_split>(from, pointer, kSplitFields, to.splits, found);
}
bj::value WriteSplits(const route& from) {
  return json::WriteArrayOfNonDefaults<route_split>(from.splits, kSplitFields);
}

const std::array<field<route>, 14> kRouteFields = {{
    {"name", &route::name, "Name of the route in logs and metrics.", true, 1},
    {"match", custom_member<route>{ReadMatch, WriteMatch}, "Which requests it matches.", true},
    {"class", custom_member<route>{ReadClass, WriteClass}, "Traffic class.", true},
    {"repeatable", &route::repeatable, "Whether a request may be executed more than once.", true},
    {"deadline_ms", &route::deadline, "Time for the whole request, in milliseconds.", false, 1,
     kMaxDurationMs},
    {"target_latency_ms", &route::latency_objective,
     "Latency objective in milliseconds; 0 disables it.", false, 0, kMaxDurationMs},
    {"priority", &route::priority,
     "Order of admission under load, 0 first; -1 derives it from the class.", false, -1,
     kLowestPriority},
    {"attempts", &route::attempts, "Attempts in all, including the first.", false, 1, kMaxAttempts},
    {"concurrency", &route::concurrency, "Concurrent requests to one target.", false, 1,
     kMaxRequestsPerTarget},
    {"queue", &route::queue, "Requests that may wait for one target.", false, 0,
     kMaxRequestsPerTarget},
    {"callers", custom_member<route>{ReadCallers, WriteCallers}, "Callers that may use it."},
    {"locality", custom_member<route>{ReadLocality, WriteLocality},
     "Where targets are looked for, relative to the caller."},
    {"public", &route::is_public, "Whether requests need no key of a workspace."},
    {"splits", custom_member<route>{ReadSplits, WriteSplits}, "Weighted shares by target labels."},
}};

const std::array<field<workspace>, 5> kWorkspaceFields = {{
    {"name", &workspace::name, "Name of the workspace, passed on to targets.", true, 1},
    {"key_digests", &workspace::key_digests, "Digests of the keys of its callers."},
    {"priority", &workspace::priority,
     "Order of admission under load, 0 first, before that of the route; -1 keeps the route's.",
     false, -1, kLowestPriority},
    {"requests_per_second", &workspace::requests_per_second,
     "Requests per second that all daemons together admit; 0 for no limit.", false, 0,
     kMaxRequestRate},
    {"burst", &workspace::burst, "Requests beyond that rate that may be admitted at once.", false,
     0, kMaxRequestRate},
}};

const std::array<field<target_selection>, 3> kTargetFields = {{
    {"regions", &target_selection::regions,
     "Regions whose targets receive traffic; all when empty."},
    {"labels", &target_selection::labels, "Labels that a target must have."},
    {"slow_start_ms", &target_selection::slow_start,
     "Ramp-up time of a new target's share, in milliseconds.", false, 0, kMaxDurationMs},
}};

const std::array<field<retry_budget_settings>, 4> kBudgetFields = {{
    {"ratio", &retry_budget_settings::ratio, "Retries as a fraction of first attempts.", false, 0,
     1},
    {"least_per_second", &retry_budget_settings::min_per_second,
     "Retries per second that are always allowed.", false, 0, 1'000},
    {"fleet_burst", &retry_budget_settings::fleet_burst,
     "Retries per window that the whole fleet may make beyond the ratio; none when negative.",
     false, -1, kMaxFleetBurst},
    {"window_ms", &retry_budget_settings::window,
     "Window in which retries are compared with first attempts, in milliseconds.", false, 100,
     kMaxDurationMs},
}};

void ReadTargets(const bj::value& from, const std::string& pointer, document& to, problems& found) {
  json::ReadObject<target_selection>(from, pointer, kTargetFields, to.targets, found);
}
bj::value WriteTargets(const document& from) {
  return json::WriteNonDefaults<target_selection>(from.targets, kTargetFields);
}
void ReadBudget(const bj::value& from, const std::string& pointer, document& to, problems& found) {
  json::ReadObject<retry_budget_settings>(from, pointer, kBudgetFields, to.retry_budget, found);
}
bj::value WriteBudget(const document& from) {
  return json::WriteNonDefaults<retry_budget_settings>(from.retry_budget, kBudgetFields);
}
void ReadRoutes(const bj::value& from, const std::string& pointer, document& to, problems& found) {
  json::ReadArray<route>(from, pointer, kRouteFields, to.routes, found);
}
bj::value WriteRoutes(const document& from) {
  return json::WriteArrayOfNonDefaults<route>(from.routes, kRouteFields);
}

void ReadWorkspaces(const bj::value& from, const std::string& pointer, document& to,
                    problems& found) {
  json::ReadArray<workspace>(from, pointer, kWorkspaceFields, to.workspaces, found);
}
bj::value WriteWorkspaces(const document& from) {
  return json::WriteArrayOfNonDefaults<workspace>(from.workspaces, kWorkspaceFields);
}

const std::array<field<document>, 8> kDocumentFields = {{
    {"schema", &document::schema, "Version of the document's format.", true, 1, kMaxDocumentSchema},
    {"service", &document::service, "Name of the service.", true, 1},
    {"owner", &document::owner, "Team that may change the document.", true, 1},
    {"targets", custom_member<document>{ReadTargets, WriteTargets},
     "Which targets receive traffic."},
    {"retry_budget", custom_member<document>{ReadBudget, WriteBudget}, "Limits for retries."},
    {"routes", custom_member<document>{ReadRoutes, WriteRoutes}, "Routes; the first match wins.",
     true},
    {"workspaces", custom_member<document>{ReadWorkspaces, WriteWorkspaces},
     "Groups of callers; if there are any, requests need a key."},
    {"header_bytes", &document::header_bytes, "Largest header of a request, in bytes.", false,
     kDefaultHeaderBytes, kMaxHeaderBytes},
}};

bool IsSubset(const std::vector<std::string>& inner, const std::vector<std::string>& outer) {
  return std::all_of(inner.begin(), inner.end(), [&](const std::string& each) {
    return std::find(outer.begin(), outer.end(), each) != outer.end();
  });
}

/// Index key of the routes that match every host.
const std::string kAnyHost;

void AddToIndex(const route& added, std::size_t position, host_index& index) {
  if (added.match.hosts.empty()) index[kAnyHost].push_back(position);
  for (const std::string& host : added.match.hosts) index[LowerCase(host)].push_back(position);
}

/// Whether every request that matches the later route already matches the earlier one.
bool Shadows(const route_match& earlier, const route_match& later) {
  const bool covers_hosts =
      earlier.hosts.empty() || (!later.hosts.empty() && IsSubset(later.hosts, earlier.hosts));
  const bool covers_methods = earlier.methods.empty() ||
                              (!later.methods.empty() && IsSubset(later.methods, earlier.methods));
  const std::string& path = later.exact.empty() ? later.prefix : later.exact;
  const bool covers_paths = earlier.exact.empty()
                                ? path.compare(0, earlier.prefix.size(), earlier.prefix) == 0
                                : earlier.exact == later.exact;
  const bool covers_headers =
      std::all_of(earlier.headers.begin(), earlier.headers.end(), [&](const auto& each) {
        const auto found = later.headers.find(each.first);
        return found != later.headers.end() && found->second == each.second;
      });
  return covers_hosts && covers_methods && covers_paths && covers_headers;
}

void CheckPath(const std::string& path, const std::string& pointer, problems& found) {
  if (!path.empty() && path.front() != '/') AddProblem(found, pointer, "must start with /");
}

void CheckRoute(const route& checked, const std::string& pointer, problems& found) {
  CheckPath(checked.match.prefix, pointer + "/match/prefix", found);
  CheckPath(checked.match.exact, pointer + "/match/exact", found);
  if (!checked.match.prefix.empty() && !checked.match.exact.empty()) {
    AddProblem(found, pointer + "/match", "must have prefix or exact, not both");
  }
  for (std::size_t i = 0; i < checked.match.methods.size(); ++i) {
    const std::string& method = checked.match.methods[i];
    const bool is_upper =
        std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    if (!is_upper) {
      AddProblem(found, pointer + "/match/methods/" + std::to_string(i),
                 "must consist of upper-case letters");
    }
  }
  if (!checked.repeatable && checked.attempts > 1) {
    AddProblem(found, pointer + "/attempts", "must be 1 on a route that is not repeatable");
  }
  if (checked.repeatable && checked.traffic_class == route_class::kBooking) {
    AddProblem(found, pointer + "/repeatable", "must be false on a route of class booking");
  }
  std::int64_t total_weight = 0;
  for (const route_split& split : checked.splits) total_weight += split.weight;
  if (!checked.splits.empty() && total_weight == 0) {
    AddProblem(found, pointer + "/splits", "must have a total weight above 0");
  }
}

/// Routes by the path that they match. Limits the check for unreachable routes to the routes whose
/// paths overlap, as comparing every pair would be slow for a long document.
class path_index {
 public:
  void Add(const route_match& match, std::size_t position) {
    if (!match.exact.empty()) {
      by_exact_[match.exact].push_back(position);
    } else {
      by_prefix_[match.prefix.size()][match.prefix].push_back(position);
    }
  }

  /// Appends the positions of the routes whose exact path equals the given one, or whose prefix it
  /// begins with.
  void FindCovering(const std::string& path, std::vector<std::size_t>& to) const {
    if (const auto found = by_exact_.find(path); found != by_exact_.end()) {
      to.insert(to.end(), found->second.begin(), found->second.end());
    }
    for (const auto& [length, prefixes] : by_prefix_) {
      if (length > path.size()) return;
      const auto found = prefixes.find(path.substr(0, length));
      if (found != prefixes.end()) to.insert(to.end(), found->second.begin(), found->second.end());
    }
  }

 private:
  using positions_by_path = std::unordered_map<std::string, std::vector<std::size_t>>;

  positions_by_path by_exact_;
  std::map<std::size_t, positions_by_path> by_prefix_;
};

/// Index keys of a route: its hosts in lower case, or kAnyHost if it names none.
std::vector<std::string> IndexedHosts(const route_match& match) {
  if (match.hosts.empty()) return {kAnyHost};
  std::vector<std::string> hosts;
  for (const std::string& each : match.hosts) hosts.push_back(LowerCase(each));
  return hosts;
}

/// Positions of earlier routes, in order, that may make a later one unreachable.
std::vector<std::size_t> ShadowingCandidates(
    const std::unordered_map<std::string, path_index>& earlier, const route_match& later) {
  std::vector<std::string> hosts = IndexedHosts(later);
  if (!later.hosts.empty()) hosts.push_back(kAnyHost);
  const std::string& path = later.exact.empty() ? later.prefix : later.exact;
  std::vector<std::size_t> candidates;
  for (const std::string& host : hosts) {
    const auto found = earlier.find(host);
    if (found != earlier.end()) found->second.FindCovering(path, candidates);
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

/// Reports a later route that is unreachable because an earlier one matches all its requests.
void CheckReachable(const std::vector<route>& routes, std::size_t later,
                    const std::vector<std::size_t>& earlier, const std::string& pointer,
                    problems& found) {
  for (const std::size_t j : earlier) {
    if (routes[j].match == routes[later].match) {
      AddProblem(found, pointer + "/match", "is the same as that of route " + routes[j].name);
      return;
    }
    if (Shadows(routes[j].match, routes[later].match)) {
      AddProblem(
          found, pointer + "/match",
          "is unreachable: its requests are all matched by the earlier route " + routes[j].name);
      return;
    }
  }
}

void CheckRoutes(const std::vector<route>& routes, problems& found) {
  if (routes.empty()) AddProblem(found, "/routes", "must not be empty");
  if (routes.size() > kMaxRoutes) {
    AddProblem(found, "/routes", "must have at most " + std::to_string(kMaxRoutes) + " routes");
    return;
  }
  std::unordered_set<std::string> names;
  std::unordered_map<std::string, path_index> earlier;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const std::string pointer = ChildPointer("/routes", std::to_string(i));
    CheckRoute(routes[i], pointer, found);
    if (!names.insert(routes[i].name).second) {
      AddProblem(found, pointer + "/name", "must be unique; already used: " + routes[i].name);
    }
    CheckReachable(routes, i, ShadowingCandidates(earlier, routes[i].match), pointer, found);
    for (const std::string& host : IndexedHosts(routes[i].match)) {
      earlier[host].Add(routes[i].match, i);
    }
  }
}

void CheckWorkspaces(const std::vector<workspace>& workspaces, problems& found) {
  std::unordered_set<std::string> names;
  std::unordered_set<std::string> digests;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    const std::string pointer = ChildPointer("/workspaces", std::to_string(i));
    if (!names.insert(workspaces[i].name).second) {
      AddProblem(found, pointer + "/name", "must be unique; already used: " + workspaces[i].name);
    }
    for (const std::string& each : workspaces[i].key_digests) {
      if (digests.insert(each).second) continue;
      AddProblem(found, pointer + "/key_digests", "has a key that another entry has as well");
    }
  }
}

}  // namespace

bool IsServiceName(std::string_view name) {
  const bool valid_characters = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  return valid_characters && !name.empty() && name.size() <= kMaxServiceNameLength &&
         name.front() != '-' && name.back() != '-';
}

std::string_view RouteClassName(route_class kind) { return EnumName(kRouteClassNames, kind); }

document_summary SummaryOf(const document_version& version) {
  return {version.service, version.version, version.digest, version.era};
}

bool Supersedes(const document_summary& candidate, const document_summary& held) {
  if (candidate.version != held.version) return candidate.version > held.version;
  return candidate.era > held.era && candidate.digest != held.digest;
}

host_index BuildHostIndex(const document& content) {
  host_index index;
  for (std::size_t i = 0; i < content.routes.size(); ++i) {
    AddToIndex(content.routes[i], i, index);
  }
  return index;
}

key_index BuildKeyIndex(const document& content) {
  key_index index;
  for (std::size_t i = 0; i < content.workspaces.size(); ++i) {
    for (const std::string& each : content.workspaces[i].key_digests) index.emplace(each, i);
  }
  return index;
}

std::string SerializeDocument(const document& content) {
  return bj::serialize(json::WriteNonDefaults<document>(content, kDocumentFields)) + "\n";
}

namespace {

/// Reads a document without any check of its meaning. Problems are added to those found.
document ReadDocument(std::string_view text, problems& found) {
  document content;
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<problems>(&parsed)) {
    found = std::move(*failed);
    return content;
  }
  json::ReadObject<document>(std::get<bj::value>(parsed), "", kDocumentFields, content, found);
  return content;
}

}  // namespace

std::variant<document, json::problems> ParseDocument(std::string_view text) {
  problems found;
  if (text.size() > kMaxDocumentBytes) {
    AddProblem(found, "", "is larger than " + std::to_string(kMaxDocumentBytes) + " bytes");
    return found;
  }
  document content = ReadDocument(text, found);
  if (!content.service.empty() && !IsServiceName(content.service)) {
    AddProblem(found, "/service",
               "must be 1 to 63 lower-case letters, digits and dashes, with no dash at either end");
  }
  if (found.empty()) CheckRoutes(content.routes, found);
  if (found.empty()) CheckWorkspaces(content.workspaces, found);
  if (!found.empty()) return found;
  return content;
}

std::variant<document, json::problems> ReadAcceptedDocument(std::string_view text) {
  problems found;
  document content = ReadDocument(text, found);
  std::erase_if(found, [](const json::problem& each) {
    return each.kind == json::problem_kind::kOutOfRange;
  });
  if (content.schema < 1 || content.schema > kMaxDocumentSchema) {
    AddProblem(found, "/schema", "is not supported by this release");
  }
  if (!found.empty()) return found;
  return content;
}

}  // namespace catkinmoor
