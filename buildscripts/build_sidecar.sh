#!/usr/bin/env bash
# Builds the sidecar daemon and places it at the path that deploy/system.toml runs. Either the program
# there is of the sources of this checkout, or there is none: a former one is removed before the build.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/build
built=$folder/platform/catkinmoord_sidecar
program=target/platform/catkinmoord_sidecar

trap '[ $? -eq 0 ] || rm -f "$program"' EXIT
mkdir -p target
exec 8> target/sidecar.lock
flock 8

sources=$(cmake -P buildscripts/source_digest.cmake)
is_current() { [ -x "$1" ] && timeout 10 "$1" --version 2> /dev/null | grep -qF "$sources"; }

is_current "$program" || rm -f "$program"
./buildscripts/build.sh "$folder" catkinmoord_sidecar -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCATKINMOOR_BUILD_TESTS=OFF 8>&-
if ! is_current "$built"; then
  echo "build_sidecar.sh: the built program is not of these sources" >&2
  rm -rf "$folder"
  exit 1
fi
if ! cmp -s "$built" "$program"; then
  mkdir -p "$(dirname "$program")"
  cp "$built" "$program.new"
  mv -f "$program.new" "$program"
fi
