#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace catkinmoor::http {

/// Orders header names without regard to case.
struct case_insensitive_less {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

/// Header fields by name.
using header_map = std::map<std::string, std::string, case_insensitive_less>;

/// A complete request, held in memory. Used where bodies are small, as for the store and the
/// administration interface.
struct request {
  std::string method = "GET";
  std::string target = "/";
  header_map headers;
  std::string body;

  /// The part of the request target before "?".
  std::string_view Path() const;

  /// The percent-decoded value of a query parameter, or nothing if it is absent.
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

/// A complete response, held in memory.
struct response {
  unsigned status = 200;
  header_map headers;
  std::string body;
};

/// The value of a header, empty if it is absent.
std::string_view HeaderValue(const header_map& headers, std::string_view name);

/// Percent-encodes a text for use in a query string.
std::string PercentEncode(std::string_view text);

}  // namespace catkinmoor::http
