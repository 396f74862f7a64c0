#pragma once

#include <string>
#include <vector>

#include "framework/base/endpoint.h"

namespace catkinmoor {

/// Addresses that start with a prefix are reached on another port, as where a forwarding device
/// stands between two regions.
struct translation_rule {
  std::string prefix;
  std::int64_t port_offset = 0;

  friend bool operator==(const translation_rule&, const translation_rule&) = default;
};

/// Turns the address that a peer goes by into the one to dial.
class address_translation {
 public:
  address_translation() = default;
  explicit address_translation(std::vector<translation_rule> rules) : rules_(std::move(rules)) {}

  /// The endpoint to dial; the first rule that matches applies.
  endpoint Apply(const endpoint& where) const {
    for (const translation_rule& each : rules_) {
      if (where.address.compare(0, each.prefix.size(), each.prefix) != 0) continue;
      return {where.address, static_cast<std::uint16_t>(where.port + each.port_offset)};
    }
    return where;
  }

 private:
  std::vector<translation_rule> rules_;
};

}  // namespace catkinmoor
