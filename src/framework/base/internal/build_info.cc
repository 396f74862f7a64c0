#include "framework/base/build_info.h"

#include "source_digest.h"

namespace catkinmoor {
namespace {

constexpr std::size_t kShortDigits = 12;

}  // namespace

const build_info& ThisBuild() {
  static const build_info kBuild{CATKINMOOR_VERSION, CATKINMOOR_SOURCE_DIGEST, CATKINMOOR_MACHINE};
  return kBuild;
}

std::string FormatBuildInfo(const build_info& build) {
  return build.version + " sources " + build.sources + " " + build.machine;
}

std::string BuildName(const build_info& build) {
  return build.version + "+" + build.sources.substr(0, kShortDigits);
}

}  // namespace catkinmoor
