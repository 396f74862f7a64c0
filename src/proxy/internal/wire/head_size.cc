#include "proxy/internal/wire/head_size.h"

#include <algorithm>

#include "proxy/byte_budget.h"

namespace catkinmoor::proxy_internal {
namespace {

// Each field is an allocation of its own, with the links of a list and of a tree.
constexpr std::size_t kFieldBytes = 64;
constexpr std::size_t kCopies = 2;

}  // namespace

head_size MeasureHead(std::string_view text) {
  head_size measured;
  while (measured.bytes < text.size()) {
    const std::size_t end = text.find('\n', measured.bytes);
    if (end == std::string_view::npos) return {text.size(), measured.lines};
    const bool is_empty_line = end - measured.bytes <= 1;
    measured.bytes = end + 1;
    if (is_empty_line) break;
    ++measured.lines;
  }
  return measured;
}

std::size_t RequestBytes(const head_size& head) {
  const std::size_t fields = kCopies * (head.bytes + head.lines * kFieldBytes);
  return std::max(static_cast<std::size_t>(byte_budget::kRequestBytes), fields);
}

}  // namespace catkinmoor::proxy_internal
