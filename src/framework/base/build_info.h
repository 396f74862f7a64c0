#pragma once

#include <string>

namespace catkinmoor {

/// What a program was built from.
struct build_info {
  /// The release, as in "0.1.0".
  std::string version;
  /// The digest of the sources that buildscripts/source_digest.cmake computes: SHA-256, 64
  /// lower-case hexadecimal digits.
  std::string sources;
  /// The kind of machine that the program was built for, as in "x86_64".
  std::string machine;

  friend bool operator==(const build_info&, const build_info&) = default;
};

/// The build of this program.
const build_info& ThisBuild();

/// A build in one line, as programs print it for --version: release, sources, machine.
std::string FormatBuildInfo(const build_info& build);

/// The short name of a build in listings and between daemons: the release and the first digits of
/// the sources' digest, as in "0.1.0+ea1bf3c34c5c".
std::string BuildName(const build_info& build);

}  // namespace catkinmoor
