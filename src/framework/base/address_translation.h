#pragma once

#include <string>
#include <vector>

#include "framework/base/endpoint.h"

namespace catkinmoor {

/// Adds an offset to the port of addresses that start with a prefix, for example where the
/// connections between two regions go through a port forwarder.
struct translation_rule {
  std::string prefix;
  std::int64_t port_offset = 0;

  friend bool operator==(const translation_rule&, const translation_rule&) = default;
};

/// Translates the endpoint that a peer announces into the one to connect to.
class address_translation {
 public:
  address_translation() = default;
  explicit address_translation(std::vector<translation_rule> rules) : rules_(std::move(rules)) {}

  /// The endpoint to connect to; the first matching rule applies.
  endpoint Translate(const endpoint& peer) const {
    for (const translation_rule& each : rules_) {
      if (peer.address.compare(0, each.prefix.size(), each.prefix) != 0) continue;
      return {peer.address, static_cast<std::uint16_t>(peer.port + each.port_offset)};
    }
    return peer;
  }

 private:
  std::vector<translation_rule> rules_;
};

}  // namespace catkinmoor
