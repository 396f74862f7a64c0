// Tests of the deployment's build command in folders that hold what another build left.

#include <stdlib.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <regex>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

namespace {

namespace fs = std::filesystem;

/// How the project was built before it had a build script: CMake's folder is `target` itself.
constexpr const char* kFormerBuild =
    "cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo "
    "-DCATKINMOOR_BUILD_TESTS=OFF && cmake --build target --target catkinmoord_sidecar -j8";

std::string ReadText(const fs::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

void WriteText(const fs::path& path, const std::string& text) {
  fs::create_directories(path.parent_path());
  std::ofstream(path) << text;
}

/// A checkout of a project whose only program prints a number. It has the build scripts and the
/// deploy file of this project, so that its build command is the one under test.
class checkout {
 public:
  checkout() {
    std::string name = (fs::temp_directory_path() / "catkinmoor-build-XXXXXX").string();
    cr_assert_not_null(::mkdtemp(name.data()));
    folder_ = name;
    root_ = folder_ / "checkout";
    const fs::path project = CATKINMOOR_SOURCE_ROOT;
    fs::create_directories(root_ / "deploy");
    fs::copy(project / "buildscripts", root_ / "buildscripts", fs::copy_options::recursive);
    fs::copy(project / "deploy/system.toml", root_ / "deploy/system.toml");
    WriteText(root_ / "CMakeLists.txt", R"(cmake_minimum_required(VERSION 3.25)
project(catkinmoor LANGUAGES CXX)
add_custom_target(source_digest
  COMMAND ${CMAKE_COMMAND} -DHEADER=${CMAKE_BINARY_DIR}/source_digest.h
    -P ${PROJECT_SOURCE_DIR}/buildscripts/source_digest.cmake
  BYPRODUCTS ${CMAKE_BINARY_DIR}/source_digest.h)
add_subdirectory(platform)
)");
    WriteText(root_ / "platform/CMakeLists.txt",
              R"(add_executable(catkinmoord_sidecar main.cc number.cc)
target_include_directories(catkinmoord_sidecar PRIVATE ${CMAKE_BINARY_DIR} ${PROJECT_SOURCE_DIR}/src)
add_dependencies(catkinmoord_sidecar source_digest)
)");
    WriteText(root_ / "platform/main.cc", R"(#include <cstdio>
#include <cstring>

#include "source_digest.h"

extern const char* const kNumber;

int main(int count, char** words) {
  const bool version = count > 1 && std::strcmp(words[1], "--version") == 0;
  std::printf("%s\n", version ? CATKINMOOR_SOURCE_DIGEST : kNumber);
}
)");
    WriteText(root_ / "platform/number.cc", R"(#include "number.h"

extern const char* const kNumber = NUMBER;
)");
    SetNumber("1");
  }
  ~checkout() {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
  checkout(const checkout&) = delete;
  checkout& operator=(const checkout&) = delete;

  /// Changes what the program prints. The file gets a time long past, as archives restore it.
  void SetNumber(const std::string& number) const {
    WriteText(root_ / "src/number.h", "#define NUMBER \"" + number + "\"\n");
    Succeed("touch -d 2001-01-01 src/number.h");
  }

  void BreakSources() const { WriteText(root_ / "src/number.h", "#error unfinished\n"); }

  /// Moves the checkout with all that was built in it to another path.
  void Move() {
    const fs::path to = folder_ / "moved";
    fs::rename(root_, to);
    root_ = to;
  }

  /// Runs a command in the root of the checkout. Returns whether it succeeded.
  bool Run(const std::string& command) const {
    const std::string line = "cd " + root_.string() + " && ( " + command + " ) > " +
                             (folder_ / "output.log").string() + " 2>&1";
    return std::system(line.c_str()) == 0;
  }

  void Succeed(const std::string& command) const {
    cr_assert(Run(command), "%s: %s", command.c_str(), ReadText(folder_ / "output.log").c_str());
  }

  /// Runs the build command of the deploy file, with settings of the environment in front.
  bool Build(const std::string& environment = "") const {
    const std::string deploy = ReadText(root_ / "deploy/system.toml");
    std::smatch found;
    cr_assert(std::regex_search(deploy, found, std::regex("(^|\n)build = \"([^\"]*)\"")));
    return Run(environment + " " + found[2].str());
  }

  fs::path Program() const { return root_ / "target/platform/catkinmoord_sidecar"; }
  fs::path Root() const { return root_; }

  /// What the program that the deploy file starts prints. Nothing if there is no program.
  std::optional<std::string> Printed() const {
    if (!fs::exists(Program())) return std::nullopt;
    Run(Program().string() + " > ../printed");
    std::string text = ReadText(folder_ / "printed");
    return text.substr(0, text.find('\n'));
  }

 private:
  fs::path folder_;
  fs::path root_;
};

/// The inode and the time of the last change tell whether a file was written again.
std::pair<ino_t, time_t> Identity(const fs::path& path) {
  struct stat status {};
  cr_assert_eq(::stat(path.c_str(), &status), 0);
  return {status.st_ino, status.st_mtime};
}

}  // namespace

TestSuite(build_folder, .timeout = 120);

// Guards against an older daemon that stays in place because CMake refuses a moved folder
// (build-47).
Test(build_folder, moved_with_an_older_build_runs_the_present_sources) {
  checkout subject;
  subject.Succeed(kFormerBuild);
  subject.SetNumber("2");
  subject.Move();
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

Test(build_folder, moved_after_its_own_build_runs_the_present_sources) {
  checkout subject;
  cr_assert(subject.Build());
  subject.SetNumber("2");
  subject.Move();
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

// Guards against objects that count as current as they are newer than the changed sources
// (build-47).
Test(build_folder, with_objects_newer_than_changed_sources_runs_the_present_sources) {
  checkout subject;
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "1");
  subject.SetNumber("2");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

Test(build_folder, with_sources_that_do_not_compile_leaves_no_program) {
  checkout subject;
  cr_assert(subject.Build());
  subject.BreakSources();
  cr_assert_not(subject.Build());
  cr_assert(subject.Printed() == std::nullopt);
}

Test(build_folder, of_an_older_release_with_sources_that_do_not_compile_leaves_no_program) {
  checkout subject;
  subject.Succeed(kFormerBuild);
  subject.BreakSources();
  subject.Move();
  cr_assert_not(subject.Build());
  cr_assert(subject.Printed() == std::nullopt);
}

Test(build_folder, after_a_build_cut_off_runs_the_present_sources) {
  checkout subject;
  cr_assert(subject.Build());
  subject.SetNumber("2");
  // Leaves what a build leaves that is killed after compiling: an object, no program, no record.
  subject.Succeed(
      "./buildscripts/build.sh target/build "
      "platform/CMakeFiles/catkinmoord_sidecar.dir/number.cc.o -DCMAKE_BUILD_TYPE=RelWithDebInfo "
      "-DCATKINMOOR_BUILD_TESTS=OFF && rm target/build/build_inputs");
  subject.SetNumber("1");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "1");
}

Test(build_folder, of_another_generator_runs_the_present_sources) {
  checkout subject;
  subject.Succeed("cmake -S . -B target -G 'Unix Makefiles' && cmake --build target");
  subject.Succeed("cmake -S . -B target/build -G 'Unix Makefiles'");
  subject.SetNumber("2");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

Test(build_folder, of_a_compiler_that_is_gone_runs_the_present_sources) {
  checkout subject;
  subject.Succeed(
      "printf '#!/bin/sh\\nexec g++ \"$@\"\\n' > ../former-c++ && chmod +x ../former-c++");
  cr_assert(subject.Build("CXX=$PWD/../former-c++"));
  subject.Succeed("rm ../former-c++");
  subject.SetNumber("2");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

Test(build_folder, of_another_kind_of_machine_runs_the_present_sources) {
  checkout subject;
  cr_assert(subject.Build());
  subject.Succeed("sed -i 's/^Linux .*/Linux other/' target/build/build_inputs");
  // The header of the program names a kind of machine that this one cannot run.
  subject.Succeed(
      "for each in target/platform target/build/platform; do printf '\\377' | "
      "dd of=$each/catkinmoord_sidecar bs=1 seek=18 conv=notrunc; done");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "1");
}

Test(build_folder, with_an_older_program_put_in_its_place_replaces_it) {
  checkout subject;
  cr_assert(subject.Build());
  subject.Succeed("cp target/platform/catkinmoord_sidecar ../older");
  subject.SetNumber("2");
  cr_assert(subject.Build());
  subject.Succeed("cp ../older target/platform/catkinmoord_sidecar");
  cr_assert(subject.Build());
  cr_assert(subject.Printed() == "2");
}

Test(build_folder, without_a_change_keeps_the_program_and_its_objects) {
  checkout subject;
  cr_assert(subject.Build());
  const fs::path object =
      subject.Root() / "target/build/platform/CMakeFiles/catkinmoord_sidecar.dir/number.cc.o";
  const auto program = Identity(subject.Program());
  const auto compiled = Identity(object);
  cr_assert(subject.Build());
  cr_assert(Identity(subject.Program()) == program);
  cr_assert(Identity(object) == compiled);
}

Test(build_folder, with_an_environment_of_nothing_but_a_path_builds) {
  checkout subject;
  cr_assert(subject.Build("env -i PATH=/usr/bin:/bin"));
  cr_assert(subject.Printed() == "1");
}
