#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "framework/base/result.h"

namespace catkinmoor {

/// An IP address and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// The form "address:port".
std::string ToString(const endpoint& value);

/// Parses "address:port". Fails with kInvalid if the address is empty or the port is missing or out
/// of range.
result<endpoint> ParseEndpoint(std::string_view text);

}  // namespace catkinmoor
