// Limits that a daemon learns from the kernel's files, where no setting states them.

#include "daemon/process_limits.h"

#include <sys/resource.h>

#include <fstream>
#include <string>

#include "framework/base/digest.h"

#include <criterion/criterion.h>

namespace {

namespace fs = std::filesystem;
using catkinmoor::MemoryLimitMb;

const std::string kMachine = "MemFree: 1 kB\nMemTotal:      2097152 kB\nBuffers: 7 kB\n";

/// A directory with files of the kernel.
class kernel_files {
 public:
  kernel_files()
      : root_(fs::temp_directory_path() / ("catkinmoor-test-" + catkinmoor::RandomId())) {
    fs::create_directories(root_);
  }
  ~kernel_files() {
    std::error_code ignored;
    fs::remove_all(root_, ignored);
  }
  kernel_files(const kernel_files&) = delete;
  kernel_files& operator=(const kernel_files&) = delete;

  kernel_files& Add(const std::string& path, const std::string& text) {
    fs::create_directories((root_ / path).parent_path());
    std::ofstream(root_ / path) << text;
    return *this;
  }

  const fs::path& Root() const { return root_; }

 private:
  fs::path root_;
};

}  // namespace

Test(process_limits, of_a_machine_without_control_groups_is_its_memory) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine);
  cr_assert_eq(MemoryLimitMb(files.Root()), 2'048);
}

Test(process_limits, of_a_control_group_of_version_2_is_its_limit) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine).Add("proc/self/cgroup", "0::/user/daemon\n");
  files.Add("sys/fs/cgroup/user/daemon/memory.max", "167772160\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 160);
}

Test(process_limits, of_a_control_group_without_limit_is_that_of_the_group_above) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine).Add("proc/self/cgroup", "0::/user/daemon\n");
  files.Add("sys/fs/cgroup/user/daemon/memory.max", "max\n");
  files.Add("sys/fs/cgroup/user/memory.max", "92274688\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 88);
}

Test(process_limits, of_control_groups_without_limit_is_the_memory_of_the_machine) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine).Add("proc/self/cgroup", "0::/daemon\n");
  files.Add("sys/fs/cgroup/daemon/memory.max", "max\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 2'048);
}

// Version 1 states a limit beyond all memory where there is none.
Test(process_limits, of_control_groups_of_version_1_is_the_least_limit) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine)
      .Add("proc/self/cgroup", "5:cpu,cpuacct:/other\n4:memory,hugetlb:/a/b\n1:name=systemd:/c\n");
  files.Add("sys/fs/cgroup/memory/memory.limit_in_bytes", "9223372036854771712\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 2'048);
  files.Add("sys/fs/cgroup/memory/a/b/memory.limit_in_bytes", "536870912\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 512);
}

// A container's mount begins at its own group, whose path is that outside.
Test(process_limits, of_a_container_is_that_of_the_mounted_group) {
  kernel_files files;
  files.Add("proc/meminfo", kMachine).Add("proc/self/cgroup", "0::/outside/container\n");
  files.Add("sys/fs/cgroup/memory.max", "268435456\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 256);
}

Test(process_limits, without_any_of_the_files_is_unknown) {
  const kernel_files files;
  cr_assert_eq(MemoryLimitMb(files.Root()), 0);
}

Test(process_limits, with_files_that_cannot_be_parsed_is_that_of_the_others) {
  kernel_files files;
  files.Add("proc/meminfo", "MemTotal: much\n").Add("proc/self/cgroup", "\n0\n0:\n0::/a\n");
  files.Add("sys/fs/cgroup/a/memory.max", "-1\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 0);
  files.Add("sys/fs/cgroup/memory.max", "104857600\n");
  cr_assert_eq(MemoryLimitMb(files.Root()), 100);
}

// The soft limit is lowered first; a test may not raise the hard one.
Test(process_limits, of_descriptors_is_the_hard_limit) {
  rlimit limit{};
  cr_assert_eq(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlimit lowered{limit.rlim_max / 2, limit.rlim_max};
  cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
  const auto raised = catkinmoor::RaiseDescriptorLimit();
  cr_assert_eq(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  cr_assert_eq(limit.rlim_cur, limit.rlim_max);
  if (limit.rlim_cur != RLIM_INFINITY)
    cr_assert_eq(raised, static_cast<std::int64_t>(limit.rlim_cur));
}
