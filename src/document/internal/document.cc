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
using json::Child;
using json::custom_member;
using json::field;
using json::problems;
using json::Report;

constexpr std::size_t kServiceNameLength = 63;
constexpr std::size_t kRoutes = 4'096;
constexpr double kDeadlineMilliseconds = 600'000;
constexpr double kAttempts = 5;
constexpr double kPerTarget = 100'000;
constexpr double kLowestPriority = 1'000;
constexpr double kMostSavedRetries = 1'000'000;

/// One permitted word of an enumeration.
template <typename Enum>
struct word {
  std::string_view name;
  Enum value;
};

constexpr std::array<word<route_class>, 4> kClasses = {{{"booking", route_class::kBooking},
                                                        {"internal", route_class::kInternal},
                                                        {"browse", route_class::kBrowse},
                                                        {"download", route_class::kDownload}}};
constexpr std::array<word<caller_scope>, 2> kCallers = {
    {{"any", caller_scope::kAny}, {"internal", caller_scope::kInternal}}};
constexpr std::array<word<locality>, 4> kLocalities = {{{"nearest", locality::kNearest},
                                                        {"region", locality::kRegion},
                                                        {"any", locality::kAny},
                                                        {"balanced", locality::kBalanced}}};

template <typename Enum, std::size_t kCount>
void ReadWord(const bj::value& from, const std::string& place,
              const std::array<word<Enum>, kCount>& words, Enum& to, problems& found) {
  std::string permitted;
  for (const auto& each : words) {
    if (from.is_string() && each.name == std::string_view(from.as_string())) {
      to = each.value;
      return;
    }
    permitted += (permitted.empty() ? "" : ", ") + std::string(each.name);
  }
  Report(found, place, "must be one of " + permitted);
}

template <typename Enum, std::size_t kCount>
std::string_view WordOf(const std::array<word<Enum>, kCount>& words, Enum value) {
  return std::find_if(words.begin(), words.end(),
                      [&](const auto& each) { return each.value == value; })
      ->name;
}

const std::array<field<route_match>, 5> kMatchFields = {{
    {"hosts", &route_match::hosts, "Hosts that match; all when absent."},
    {"methods", &route_match::methods, "Methods that match; all when absent."},
    {"prefix", &route_match::prefix, "Path prefix that matches."},
    {"exact", &route_match::exact, "Whole path that matches."},
    {"headers", &route_match::headers, "Header values that must all be present."},
}};

const std::array<field<route_split>, 3> kSplitFields = {{
    {"service", &route_split::service, "Service that gets this share; the document's when absent."},
    {"labels", &route_split::labels, "Labels of the targets that get this share."},
    {"weight", &route_split::weight, "Share relative to the other splits.", true, 0, 1'000'000},
}};

void ReadMatch(const bj::value& from, const std::string& place, route& to, problems& found) {
  json::ReadObject<route_match>(from, place, kMatchFields, to.match, found);
}
bj::value WriteMatch(const route& from) {
  return json::WriteChanged<route_match>(from.match, kMatchFields);
}
void ReadClass(const bj::value& from, const std::string& place, route& to, problems& found) {
  ReadWord(from, place, kClasses, to.kind, found);
}
bj::value WriteClass(const route& from) { return bj::string(WordOf(kClasses, from.kind)); }
void ReadCallers(const bj::value& from, const std::string& place, route& to, problems& found) {
  ReadWord(from, place, kCallers, to.callers, found);
}
bj::value WriteCallers(const route& from) { return bj::string(WordOf(kCallers, from.callers)); }
void ReadLocality(const bj::value& from, const std::string& place, route& to, problems& found) {
  ReadWord(from, place, kLocalities, to.preference, found);
}
bj::value WriteLocality(const route& from) {
  return bj::string(WordOf(kLocalities, from.preference));
}
void ReadSplits(const bj::value& from, const std::string& place, route& to, problems& found) {
  json::ReadItems<route_split>(from, place, kSplitFields, to.splits, found);
}
bj::value WriteSplits(const route& from) {
  return json::WriteChangedItems<route_split>(from.splits, kSplitFields);
}

const std::array<field<route>, 13> kRouteFields = {{
    {"name", &route::name, "Name of the route in logs and metrics.", true, 1},
    {"match", custom_member<route>{ReadMatch, WriteMatch}, "Which requests it takes.", true},
    {"class", custom_member<route>{ReadClass, WriteClass}, "Sort of work.", true},
    {"repeatable", &route::repeatable, "Whether a request may run twice.", true},
    {"deadline_ms", &route::deadline, "Time for the whole request, in milliseconds.", false, 1,
     kDeadlineMilliseconds},
    {"target_latency_ms", &route::target_latency, "Time in which an answer serves fully.", false, 0,
     kDeadlineMilliseconds},
    {"priority", &route::priority, "Rank of admission, 0 first; -1 follows the class.", false, -1,
     kLowestPriority},
    {"attempts", &route::attempts, "Tries in all, the first included.", false, 1, kAttempts},
    {"concurrency", &route::concurrency, "Requests at once at one target.", false, 1, kPerTarget},
    {"queue", &route::queue, "Requests that may wait at one target.", false, 0, kPerTarget},
    {"callers", custom_member<route>{ReadCallers, WriteCallers}, "Who may call."},
    {"locality", custom_member<route>{ReadLocality, WriteLocality}, "How far targets are sought."},
    {"splits", custom_member<route>{ReadSplits, WriteSplits}, "Shares between target labels."},
}};

const std::array<field<target_selection>, 3> kTargetFields = {{
    {"regions", &target_selection::regions, "Regions whose targets take traffic; all when empty."},
    {"labels", &target_selection::labels, "Labels that a target must carry."},
    {"slow_start_ms", &target_selection::slow_start, "Time in which a new target's share grows.",
     false, 0, kDeadlineMilliseconds},
}};

const std::array<field<retry_budget_settings>, 3> kBudgetFields = {{
    {"ratio", &retry_budget_settings::ratio, "Retries as a share of first tries.", false, 0, 1},
    {"least_per_second", &retry_budget_settings::least_per_second,
     "Retries a second that are always allowed.", false, 0, 1'000},
    {"fleet_burst", &retry_budget_settings::fleet_burst,
     "Retries the whole fleet may save up; negative for a share each.", false, -1,
     kMostSavedRetries},
}};

void ReadTargets(const bj::value& from, const std::string& place, document& to, problems& found) {
  json::ReadObject<target_selection>(from, place, kTargetFields, to.targets, found);
}
bj::value WriteTargets(const document& from) {
  return json::WriteChanged<target_selection>(from.targets, kTargetFields);
}
void ReadBudget(const bj::value& from, const std::string& place, document& to, problems& found) {
  json::ReadObject<retry_budget_settings>(from, place, kBudgetFields, to.retry_budget, found);
}
bj::value WriteBudget(const document& from) {
  return json::WriteChanged<retry_budget_settings>(from.retry_budget, kBudgetFields);
}
void ReadRoutes(const bj::value& from, const std::string& place, document& to, problems& found) {
  json::ReadItems<route>(from, place, kRouteFields, to.routes, found);
}
bj::value WriteRoutes(const document& from) {
  return json::WriteChangedItems<route>(from.routes, kRouteFields);
}

const std::array<field<document>, 6> kDocumentFields = {{
    {"schema", &document::schema, "Version of the document's form.", true, 1, kDocumentSchema},
    {"service", &document::service, "Name of the service.", true, 1},
    {"owner", &document::owner, "Team that may change the document.", true, 1},
    {"targets", custom_member<document>{ReadTargets, WriteTargets}, "Which targets take traffic."},
    {"retry_budget", custom_member<document>{ReadBudget, WriteBudget}, "How much may be repeated."},
    {"routes", custom_member<document>{ReadRoutes, WriteRoutes}, "Routes; the first match wins.",
     true},
}};

bool Subset(const std::vector<std::string>& inner, const std::vector<std::string>& outer) {
  return std::all_of(inner.begin(), inner.end(), [&](const std::string& each) {
    return std::find(outer.begin(), outer.end(), each) != outer.end();
  });
}

/// The entry of an index for routes that take every host.
const std::string kAnyHost;

void AddToIndex(const route& added, std::size_t position, host_index& index) {
  if (added.match.hosts.empty()) index[kAnyHost].push_back(position);
  for (const std::string& host : added.match.hosts) index[LowerCase(host)].push_back(position);
}

/// Whether every request that the later match takes is taken by the earlier one already.
bool Shadows(const route_match& earlier, const route_match& later) {
  const bool hosts =
      earlier.hosts.empty() || (!later.hosts.empty() && Subset(later.hosts, earlier.hosts));
  const bool methods =
      earlier.methods.empty() || (!later.methods.empty() && Subset(later.methods, earlier.methods));
  const std::string& path = later.exact.empty() ? later.prefix : later.exact;
  const bool paths = earlier.exact.empty()
                         ? path.compare(0, earlier.prefix.size(), earlier.prefix) == 0
                         : earlier.exact == later.exact;
  const bool headers =
      std::all_of(earlier.headers.begin(), earlier.headers.end(), [&](const auto& each) {
        const auto found = later.headers.find(each.first);
        return found != later.headers.end() && found->second == each.second;
      });
  return hosts && methods && paths && headers;
}

void CheckPath(const std::string& path, const std::string& place, problems& found) {
  if (!path.empty() && path.front() != '/') Report(found, place, "must start with /");
}

void CheckRoute(const route& each, const std::string& place, problems& found) {
  CheckPath(each.match.prefix, place + "/match/prefix", found);
  CheckPath(each.match.exact, place + "/match/exact", found);
  if (!each.match.prefix.empty() && !each.match.exact.empty()) {
    Report(found, place + "/match", "takes prefix or exact, not both");
  }
  for (std::size_t i = 0; i < each.match.methods.size(); ++i) {
    const std::string& method = each.match.methods[i];
    const bool upper =
        std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    if (!upper) {
      Report(found, place + "/match/methods/" + std::to_string(i), "must be upper-case letters");
    }
  }
  if (!each.repeatable && each.attempts > 1) {
    Report(found, place + "/attempts", "must be 1 on a route that is not repeatable");
  }
  if (each.repeatable && each.kind == route_class::kBooking) {
    Report(found, place + "/repeatable", "must be false on a route of class booking");
  }
  std::int64_t weight = 0;
  for (const route_split& split : each.splits) weight += split.weight;
  if (!each.splits.empty() && weight == 0) {
    Report(found, place + "/splits", "must have a weight above 0");
  }
}

/// Routes found by the path that they take, so that a long document is checked without comparing
/// every pair of its routes.
class path_index {
 public:
  void Add(const route_match& match, std::size_t position) {
    if (!match.exact.empty()) {
      by_exact_[match.exact].push_back(position);
    } else {
      by_prefix_[match.prefix.size()][match.prefix].push_back(position);
    }
  }

  /// Appends the routes that take a path, or the paths that begin with it.
  void Find(const std::string& path, std::vector<std::size_t>& to) const {
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

/// The hosts under which a route is indexed.
std::vector<std::string> IndexedHosts(const route_match& match) {
  if (match.hosts.empty()) return {kAnyHost};
  std::vector<std::string> hosts;
  for (const std::string& each : match.hosts) hosts.push_back(LowerCase(each));
  return hosts;
}

/// Earlier routes, in order, that may leave nothing to a later one.
std::vector<std::size_t> Candidates(const std::unordered_map<std::string, path_index>& earlier,
                                    const route_match& later) {
  std::vector<std::string> hosts = IndexedHosts(later);
  if (!later.hosts.empty()) hosts.push_back(kAnyHost);
  const std::string& path = later.exact.empty() ? later.prefix : later.exact;
  std::vector<std::size_t> candidates;
  for (const std::string& host : hosts) {
    const auto found = earlier.find(host);
    if (found != earlier.end()) found->second.Find(path, candidates);
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

/// Reports a later route that an earlier one leaves nothing to.
void CheckReached(const std::vector<route>& routes, std::size_t later,
                  const std::vector<std::size_t>& earlier, const std::string& place,
                  problems& found) {
  for (const std::size_t j : earlier) {
    if (routes[j].match == routes[later].match) {
      Report(found, place + "/match", "repeats that of route " + routes[j].name);
      return;
    }
    if (Shadows(routes[j].match, routes[later].match)) {
      Report(found, place + "/match", "is never reached behind route " + routes[j].name);
      return;
    }
  }
}

void CheckRoutes(const std::vector<route>& routes, problems& found) {
  if (routes.empty()) Report(found, "/routes", "must not be empty");
  if (routes.size() > kRoutes) {
    Report(found, "/routes", "must have at most " + std::to_string(kRoutes) + " routes");
    return;
  }
  std::unordered_set<std::string> names;
  std::unordered_map<std::string, path_index> earlier;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const std::string place = Child("/routes", std::to_string(i));
    CheckRoute(routes[i], place, found);
    if (!names.insert(routes[i].name).second) {
      Report(found, place + "/name", "stands twice: " + routes[i].name);
    }
    CheckReached(routes, i, Candidates(earlier, routes[i].match), place, found);
    for (const std::string& host : IndexedHosts(routes[i].match)) {
      earlier[host].Add(routes[i].match, i);
    }
  }
}

}  // namespace

bool IsServiceName(std::string_view name) {
  const bool plain = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  return plain && !name.empty() && name.size() <= kServiceNameLength && name.front() != '-' &&
         name.back() != '-';
}

std::string_view ClassName(route_class kind) { return WordOf(kClasses, kind); }

host_index IndexHosts(const document& content) {
  host_index index;
  for (std::size_t i = 0; i < content.routes.size(); ++i) {
    AddToIndex(content.routes[i], i, index);
  }
  return index;
}

std::string PrintDocument(const document& content) {
  return bj::serialize(json::WriteChanged<document>(content, kDocumentFields)) + "\n";
}

std::variant<document, json::problems> ParseDocument(std::string_view text) {
  problems found;
  if (text.size() > kDocumentBytes) {
    Report(found, "", "is larger than " + std::to_string(kDocumentBytes) + " bytes");
    return found;
  }
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<problems>(&parsed)) return *failed;
  document content;
  json::ReadObject<document>(std::get<bj::value>(parsed), "", kDocumentFields, content, found);
  if (!content.service.empty() && !IsServiceName(content.service)) {
    Report(found, "/service", "must be lower-case letters, digits and dashes, at most 63");
  }
  if (found.empty()) CheckRoutes(content.routes, found);
  if (!found.empty()) return found;
  return content;
}

}  // namespace catkinmoor
