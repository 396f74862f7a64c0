#include "daemon/process_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>

namespace catkinmoor {
namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kBytesPerMegabyte = 1 << 20;
constexpr std::int64_t kBytesPerKilobyte = 1 << 10;

/// Reads a number at the start of a file. Nothing if there is none, as in "max" for no limit.
std::optional<std::int64_t> ReadNumber(const fs::path& path) {
  std::ifstream file(path);
  std::int64_t number = 0;
  if (!(file >> number) || number < 0) return std::nullopt;
  return number;
}

void LowerTo(std::optional<std::int64_t>& least, std::optional<std::int64_t> other) {
  if (other && (!least || *other < *least)) least = other;
}

/// The least limit of a control group and those above it. A process in a container may see only
/// the mount of its own group, so that its path does not exist.
std::optional<std::int64_t> GroupLimit(const fs::path& mount, const std::string& group,
                                       const char* file) {
  std::optional<std::int64_t> least;
  fs::path path = fs::path(group).relative_path();
  for (;;) {
    LowerTo(least, ReadNumber(mount / path / file));
    if (path.empty()) return least;
    path = path.parent_path();
  }
}

/// Lines of the file are HIERARCHY:CONTROLLERS:PATH, with no controllers in version 2.
std::optional<std::int64_t> ControlGroupLimit(const fs::path& root) {
  std::ifstream groups(root / "proc/self/cgroup");
  const fs::path mount = root / "sys/fs/cgroup";
  std::optional<std::int64_t> least;
  std::string line;
  while (std::getline(groups, line)) {
    const std::size_t first = line.find(':');
    const std::size_t second = line.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) continue;
    const std::string controllers = "," + line.substr(first + 1, second - first - 1) + ",";
    const std::string group = line.substr(second + 1);
    if (controllers == ",,") LowerTo(least, GroupLimit(mount, group, "memory.max"));
    if (controllers.find(",memory,") != std::string::npos) {
      LowerTo(least, GroupLimit(mount / "memory", group, "memory.limit_in_bytes"));
    }
  }
  return least;
}

std::optional<std::int64_t> MachineMemory(const fs::path& root) {
  constexpr std::string_view kTotal = "MemTotal:";
  std::ifstream file(root / "proc/meminfo");
  std::string name;
  std::int64_t kilobytes = 0;
  std::string rest;
  while (file >> name) {
    if (name == kTotal && file >> kilobytes) return kilobytes * kBytesPerKilobyte;
    std::getline(file, rest);
  }
  return std::nullopt;
}

}  // namespace

std::int64_t MemoryLimitMb(const fs::path& root) {
  std::optional<std::int64_t> least = MachineMemory(root);
  LowerTo(least, ControlGroupLimit(root));
  if (!least) return 0;
  return std::max<std::int64_t>(1, *least / kBytesPerMegabyte);
}

std::int64_t RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  const rlimit raised{limit.rlim_max, limit.rlim_max};
  if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) limit = raised;
  if (limit.rlim_cur == RLIM_INFINITY) return 0;
  return static_cast<std::int64_t>(limit.rlim_cur);
}

}  // namespace catkinmoor
