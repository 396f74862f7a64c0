#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "framework/base/clock.h"
#include "framework/json/reader.h"

namespace catkinmoor {

/// Labels of a target by name, such as its version.
using label_map = std::map<std::string, std::string>;

/// Traffic class of a route. Sets the order of admission under load when the route has no priority.
enum class route_class { kBooking, kInternal, kBrowse, kDownload };
inline constexpr std::size_t kRouteClassCount = 4;

/// Which callers may use a route.
enum class caller_scope { kAny, kInternal };

/// Where targets are looked for, relative to the caller.
enum class locality {
  kNearest,   ///< Only targets at the smallest distance from the caller.
  kRegion,    ///< As kNearest, but only in the caller's region.
  kAny,       ///< Targets in every region alike.
  kBalanced,  ///< The lowest expected response time, by distance and load.
};

/// Conditions under which a route matches a request. Empty members match everything.
struct route_match {
  std::vector<std::string> methods;
  std::string prefix;
  std::string exact;
  label_map headers;
  std::vector<std::string> hosts;

  friend bool operator==(const route_match&, const route_match&) = default;
};

/// A weighted share of a route's requests that goes to the targets of a service with these labels.
/// An empty service stands for the document's own.
struct route_split {
  label_map labels;
  std::int64_t weight = 1;
  std::string service;

  friend bool operator==(const route_split&, const route_split&) = default;
};

struct route {
  std::string name;
  route_match match;
  route_class traffic_class = route_class::kBrowse;
  bool repeatable = false;
  milliseconds deadline{2'000};
  /// Latency objective: the response time up to which a response has its full value to the caller;
  /// 0 when the document sets none.
  milliseconds latency_objective{0};
  /// Order of admission under load, 0 first; -1 derives it from the class.
  std::int64_t priority = -1;
  std::int64_t attempts = 1;
  std::int64_t concurrency = 1'000;
  std::int64_t queue = 100;
  caller_scope callers = caller_scope::kAny;
  locality target_locality = locality::kNearest;
  /// Whether requests need no key although the document has workspaces.
  bool is_public = false;
  std::vector<route_split> splits;

  friend bool operator==(const route&, const route&) = default;
};

/// Which targets receive traffic.
struct target_selection {
  std::vector<std::string> regions;
  label_map labels;
  milliseconds slow_start{0};

  friend bool operator==(const target_selection&, const target_selection&) = default;
};

/// Limits for the retries of requests to a service.
struct retry_budget_settings {
  double ratio = 0.2;
  double min_per_second = 1;
  /// Retries that the whole fleet may make in each window beyond the ratio, divided equally among
  /// its daemons; none when negative.
  double fleet_burst = -1;
  /// Sliding window in which retries are compared with first attempts.
  milliseconds window{10'000};

  friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// A group of callers that share keys, a priority and a quota.
struct workspace {
  std::string name;
  /// Digests of the callers' keys (DigestKey), so that no document holds a key.
  std::vector<std::string> key_digests;
  /// Order of admission under load before that of the route, 0 first; -1 keeps that of the route.
  std::int64_t priority = -1;
  /// Requests per second that all daemons together admit; 0 for no limit.
  double requests_per_second = 0;
  /// Requests beyond that rate that may be admitted at once.
  double burst = 0;

  friend bool operator==(const workspace&, const workspace&) = default;
};

/// Bytes of a request's header that callers may send if neither a document nor a setting says more.
inline constexpr std::int64_t kDefaultHeaderBytes = 16 << 10;
/// The largest value of such a limit.
inline constexpr std::int64_t kMaxHeaderBytes = 128 << 10;

/// Routing configuration of one service, written by the team that owns it. Immutable once parsed.
struct document {
  std::int64_t schema = 1;
  std::string service;
  std::string owner;
  target_selection targets;
  retry_budget_settings retry_budget;
  std::vector<route> routes;
  /// If not empty, requests on routes that are not public need the key of a workspace.
  std::vector<workspace> workspaces;
  /// Largest header of a request, in bytes. Applies where one document serves all hosts, to daemons
  /// whose own setting is not larger.
  std::int64_t header_bytes = kDefaultHeaderBytes;

  friend bool operator==(const document&, const document&) = default;
};

/// Positions of the routes that name a host, in document order, by host in lower case. Routes that
/// name no host, and so match every host, are under the empty string.
using host_index = std::unordered_map<std::string, std::vector<std::size_t>>;

/// Positions of workspaces in their document, by the digests of their keys.
using key_index = std::unordered_map<std::string, std::size_t>;

/// The newest document schema that this release supports.
inline constexpr std::int64_t kMaxDocumentSchema = 1;

/// Maximum size in bytes of a document text that an author submits.
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20U;

/// Parses and validates a document that an author submits. Problems are reported together, each
/// with its JSON pointer, or with line and column where the text is not JSON.
std::variant<document, json::problems> ParseDocument(std::string_view text);

/// Reads a document that the store has accepted. The limits and checks for authors do not apply,
/// since a version that is not taken over would leave an older one in force: routes and keys that
/// it removes would stay valid. Fails only for a text that cannot be interpreted.
std::variant<document, json::problems> ReadAcceptedDocument(std::string_view text);

/// Whether a name is a valid service name: 1 to 63 lower-case letters, digits and dashes, with no
/// dash at either end.
bool IsServiceName(std::string_view name);

/// The name of a traffic class as written in documents.
std::string_view RouteClassName(route_class kind);

/// Serializes a document to a text that ParseDocument reads back as an equal value. Equal documents
/// give equal texts.
std::string SerializeDocument(const document& content);

/// One version of a document's text as accepted by the store, with the number of the change that
/// introduced it.
struct document_version {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::string digest;
  std::string text;
  /// Era of the store that the text was read from (store_era). A restored store may give a version
  /// out again with another text.
  std::uint64_t era = 0;

  friend bool operator==(const document_version&, const document_version&) = default;
};

/// Name, version, digest and era of a document.
struct document_summary {
  std::string service;
  std::uint64_t version = 0;
  std::string digest;
  std::uint64_t era = 0;

  friend bool operator==(const document_summary&, const document_summary&) = default;
};

/// The summary of a version.
document_summary SummaryOf(const document_version& version);

/// Whether a document supersedes another one of the same service: by a higher version, or by
/// another text that a later era of the store gave out under the same version. An older version in
/// a later era does not: the restored store has not received the newer one again yet.
bool Supersedes(const document_summary& candidate, const document_summary& held);

/// A parsed document with the version that it was parsed from and the indexes of its routes and
/// keys.
struct parsed_document {
  document_version source;
  document content;
  host_index routes_by_host;
  key_index workspaces_by_key = {};

  friend bool operator==(const parsed_document&, const parsed_document&) = default;
};

/// Builds the host index of a document.
host_index BuildHostIndex(const document& content);

/// Builds the key index of a document.
key_index BuildKeyIndex(const document& content);

using parsed_document_ptr = std::shared_ptr<const parsed_document>;

}  // namespace catkinmoor
