#pragma once

#include <functional>
#include <string_view>
#include <variant>

#include "document/document.h"

namespace catkinmoor {

/// What routing needs to know of a request.
struct request_view {
  std::string_view method;
  std::string_view path;
  /// The value of a header, empty when it is absent.
  std::function<std::string_view(std::string_view name)> header;
  bool internal_caller = false;
  /// Without a port.
  std::string_view host = {};
};

/// Why no route took a request.
enum class no_route { kNotFound, kWrongMethod, kNotAllowed };

/// Finds the first route that takes a request, or why there is none. Routes that name the request's
/// host go before those that take every host.
std::variant<const route*, no_route> FindRoute(const active_document& content,
                                               const request_view& request);

}  // namespace catkinmoor
