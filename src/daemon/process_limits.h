#pragma once

#include <cstdint>
#include <filesystem>

namespace catkinmoor {

/// The memory that this process may use, in megabytes: the least of the limits of its control group
/// (version 1 or 2), those of the groups above it, and the memory of the machine. 0 if none is
/// known. Read from the kernel's files below a root directory.
std::int64_t MemoryLimitMb(const std::filesystem::path& root = "/");

/// Raises the soft limit of this process's descriptors to the hard one. Returns the limit then in
/// force; 0 if it is not known.
std::int64_t RaiseDescriptorLimit();

}  // namespace catkinmoor
