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

/// Labels that a target carries, such as its version.
using label_map = std::map<std::string, std::string>;

/// What sort of work a route carries; decides the order of admission under load.
enum class route_class { kBooking, kInternal, kBrowse, kDownload };
inline constexpr std::size_t kRouteClasses = 4;

/// Who may call a route.
enum class caller_scope { kAny, kInternal };

/// How far from the caller targets are looked for.
enum class locality {
  kNearest,   ///< The nearest place that has a target.
  kRegion,    ///< The caller's region only.
  kAny,       ///< Everywhere alike.
  kBalanced,  ///< Wherever an answer is expected soonest, by distance and load.
};

/// Which requests a route takes. Empty members match everything.
struct route_match {
  std::vector<std::string> methods;
  std::string prefix;
  std::string exact;
  label_map headers;
  std::vector<std::string> hosts;

  friend bool operator==(const route_match&, const route_match&) = default;
};

/// A share of a route's requests that goes to targets of a service with certain labels. An empty
/// service is the document's own.
struct route_split {
  label_map labels;
  std::int64_t weight = 1;
  std::string service;

  friend bool operator==(const route_split&, const route_split&) = default;
};

/// One route of a document.
struct route {
  std::string name;
  route_match match;
  route_class kind = route_class::kBrowse;
  bool repeatable = false;
  milliseconds deadline{2'000};
  /// Time within which an answer serves the caller fully; 0 when the document does not say.
  milliseconds target_latency{0};
  /// Rank of admission under load, 0 first; -1 follows the class.
  std::int64_t priority = -1;
  std::int64_t attempts = 1;
  std::int64_t concurrency = 1'000;
  std::int64_t queue = 100;
  caller_scope callers = caller_scope::kAny;
  locality preference = locality::kNearest;
  std::vector<route_split> splits;

  friend bool operator==(const route&, const route&) = default;
};

/// Which targets take traffic.
struct target_selection {
  std::vector<std::string> regions;
  label_map labels;
  milliseconds slow_start{0};

  friend bool operator==(const target_selection&, const target_selection&) = default;
};

/// How much a service's callers may repeat.
struct retry_budget_settings {
  double ratio = 0.2;
  double least_per_second = 1;
  /// Retries that the whole fleet may save up together; negative when each daemon saves on its own.
  double fleet_burst = -1;

  friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// A team's whole statement of how its service is reached. Immutable once parsed.
struct document {
  std::int64_t schema = 1;
  std::string service;
  std::string owner;
  target_selection targets;
  retry_budget_settings retry_budget;
  std::vector<route> routes;

  friend bool operator==(const document&, const document&) = default;
};

/// The routes of a document that take a host, in the document's order.
using host_index = std::unordered_map<std::string, std::vector<std::size_t>>;

/// The newest schema that this release understands.
inline constexpr std::int64_t kDocumentSchema = 1;

/// The largest document text. A document that holds the routes of a whole mesh needs most of it.
inline constexpr std::size_t kDocumentBytes = 1U << 20U;

/// Parses and checks a whole document. All faults are reported in one pass, each with its place.
std::variant<document, json::problems> ParseDocument(std::string_view text);

/// Whether a name may be a service name: lower-case letters, digits and dashes, at most 63.
bool IsServiceName(std::string_view name);

/// The name of a class as it stands in documents.
std::string_view ClassName(route_class kind);

/// A document as text that ParseDocument reads back as an equal value. Equal documents have equal
/// texts.
std::string PrintDocument(const document& content);

/// A document text as accepted by the store.
struct document_version {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::string digest;
  std::string text;

  friend bool operator==(const document_version&, const document_version&) = default;
};

/// Name, version and digest of a document.
struct document_summary {
  std::string service;
  std::uint64_t version = 0;
  std::string digest;

  friend bool operator==(const document_summary&, const document_summary&) = default;
};

/// A parsed document with the version it came from.
struct active_document {
  document_version source;
  document content;
  host_index by_host;

  friend bool operator==(const active_document&, const active_document&) = default;
};

/// Puts the routes that name hosts under them, without regard to case.
host_index IndexHosts(const document& content);

using active_document_ptr = std::shared_ptr<const active_document>;

}  // namespace catkinmoor
