#include "framework/base/endpoint.h"

#include <charconv>

namespace catkinmoor {

std::string ToString(const endpoint& value) {
  return value.address + ":" + std::to_string(value.port);
}

result<endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  std::uint16_t port = 0;
  const bool has_address = colon != std::string_view::npos && colon > 0;
  if (has_address) {
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec == std::errc() && parsed.ptr == end && port != 0) {
      return endpoint{std::string(text.substr(0, colon)), port};
    }
  }
  return error{error_kind::kInvalid, "parse endpoint", "",
               "\"" + std::string(text) + "\" is not of the form address:port"};
}

}  // namespace catkinmoor
