#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace catkinmoor::http {

/// Compares header names without regard to case.
struct header_less {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

/// Header fields by name.
using header_map = std::map<std::string, std::string, header_less>;

/// A whole request: used where bodies are small, as towards the store and for administration.
struct request {
  std::string method = "GET";
  std::string target = "/";
  header_map headers;
  std::string body;

  /// The part of the target before "?".
  std::string_view Path() const;

  /// The value of a query parameter, percent-decoded, or nothing when it is absent.
  std::optional<std::string> Query(std::string_view name) const;
};

/// A whole answer.
struct reply {
  unsigned status = 200;
  header_map headers;
  std::string body;
};

/// The header's value, empty when it is absent.
std::string_view Header(const header_map& headers, std::string_view name);

/// Percent-encodes a text for use in a query.
std::string EncodeQuery(std::string_view text);

}  // namespace catkinmoor::http
