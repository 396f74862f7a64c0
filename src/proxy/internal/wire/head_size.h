#pragma once

#include <cstddef>
#include <string_view>

namespace catkinmoor::proxy_internal {

/// Size of a request's head, or of a part of it, on the wire.
struct head_size {
  std::size_t bytes = 0;
  /// Lines that the parser turns into fields, with the request line.
  std::size_t lines = 0;

  head_size& operator+=(const head_size& part) {
    bytes += part.bytes;
    lines += part.lines;
    return *this;
  }
  friend bool operator==(const head_size&, const head_size&) = default;
};

/// The size of the head at the beginning of a text that starts with a line. Ends at the head's end.
head_size MeasureHead(std::string_view text);

/// Bytes of memory that a request with such a head is charged: its parser and coroutines, its
/// fields, and the copy of them that is made for a gate.
std::size_t RequestBytes(const head_size& head);

}  // namespace catkinmoor::proxy_internal
