#!/usr/bin/env bash
# Largest and median resident memory of a daemon once a fleet has been at rest for a while.
#
#   settled.sh PER_DATA_CENTRE SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d) dir=$(mktemp -d)
ln -s "$PWD"/build/release/src/app_*/catkin* "$bin/"
. buildscripts/fleet.sh
trap 'fleet_stop "$dir" > /dev/null 2>&1 || true; rm -rf "$bin" "$dir"' EXIT
fleet_start "$dir" "$bin" tree "$1" > /dev/null
fleet_wait_ready "$dir"
sleep "$2"
for f in "$dir"/*.daemon.pid; do awk '/VmRSS/ {print $2 / 1024}' "/proc/$(cat "$f")/status"; done | sort -n |
  awk -v n="${#fleet_addresses[@]}" -v s="$2" '{v[NR] = $1} END {
    printf "{\"daemons\":%d,\"rest_s\":%d,\"resident_mb_median\":%.1f,\"resident_mb_most\":%.1f}\n", n, s, v[int((NR + 1) / 2)], v[NR] }'
