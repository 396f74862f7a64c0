#pragma once

#include <functional>
#include <string_view>
#include <variant>

#include "document/document.h"

namespace catkinmoor {

/// The properties of a request that routes are matched against.
struct request_view {
  std::string_view method;
  std::string_view path;
  /// The value of a header, empty when it is absent.
  std::function<std::string_view(std::string_view name)> header;
  bool internal_caller = false;
  /// Without a port.
  std::string_view host = {};
};

/// Why no route matches a request.
enum class route_mismatch { kNotFound, kWrongMethod, kCallerNotAllowed };

/// Finds the first route that matches a request, or the reason why there is none. Routes that name
/// the request's host take precedence over those for any host.
std::variant<const route*, route_mismatch> FindRoute(const parsed_document& content,
                                                     const request_view& request);

}  // namespace catkinmoor
