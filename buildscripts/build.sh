#!/usr/bin/env bash
# Builds a target in FOLDER from the sources of this checkout, whatever FOLDER holds.
#
#   build.sh FOLDER TARGET [CMAKE_OPTION...]
#
# CMake and Ninja trust the paths and the times of files that they find. A folder that came from
# another path or kind of machine, or whose objects are newer than changed sources, would be refused or
# keep old objects. So FOLDER records what it was built from, and is emptied when that differs or when
# the last build did not end.
set -euo pipefail
folder=$1 target=$2
shift 2
cd "$(dirname "$0")/.."

build_inputs() {
  local name
  pwd -P
  uname -sm
  printf '%s\n' "$@"
  env | LC_ALL=C grep -E '^(CC|CXX|CPPFLAGS|CFLAGS|CXXFLAGS|LDFLAGS|CMAKE_[A-Z_]+|PKG_CONFIG_[A-Z_]+)=' |
    LC_ALL=C sort || true
  for name in "${CXX:-c++}" cmake ninja ccache; do
    command -v "$name" || continue
    "$name" --version | head -1
  done
  if command -v dpkg-query > /dev/null; then
    xargs dpkg-query -W -f='${Package} ${Version}\n' < buildscripts/packages.txt 2> /dev/null || true
  fi
  find CMakeLists.txt buildscripts src platform -type f -print0 | LC_ALL=C sort -z | xargs -0 sha256sum
}

mkdir -p "$(dirname "$folder")"
exec 9> "$folder.lock"
flock 9
inputs=$(build_inputs "$@")
if [ "$inputs" != "$(cat "$folder/build_inputs" 2> /dev/null || true)" ]; then
  rm -rf "$folder"
  mkdir "$folder"
  cmake -S . -B "$folder" -G Ninja "$@" > "$folder/configure.log" 2>&1 || {
    cat "$folder/configure.log" >&2
    exit 1
  }
fi
# Present only while all objects are of these inputs.
rm -f "$folder/build_inputs"
cmake --build "$folder" --target "$target" -j 8 9>&-
if [ "$inputs" != "$(build_inputs "$@")" ]; then
  echo "build.sh: sources have changed during the build" >&2
  exit 1
fi
printf '%s\n' "$inputs" > "$folder/build_inputs.new"
mv "$folder/build_inputs.new" "$folder/build_inputs"
