#pragma once

#include <cstddef>

namespace catkinmoor::http {

/// Maximum bytes read from a connection but not parsed yet. It bounds the parts of a message that
/// have no limit of their own, such as chunk extensions.
inline constexpr std::size_t kMaxUnparsedBytes = 32U << 10U;

}  // namespace catkinmoor::http
