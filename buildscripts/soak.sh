#!/usr/bin/env bash
# Draws failures at random from a seed over the whole path while callers send, then checks the ledger.
#
#   soak.sh SECONDS SEED
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:?seconds} RANDOM=${2:?seed}
seed=$2
bin=$(mktemp -d) dir=$(mktemp -d)
ln -s "$PWD"/build/release/src/app_*/catkin* "$bin/"
. buildscripts/fleet.sh
trap 'fleet_stop "$dir" > /dev/null 2>&1 || true; rm -rf "$bin" "$dir"' EXIT
fleet_links=1
fleet_start "$dir" "$bin" tree 2 slotboard
fleet_wait_ready "$dir"
export CATKINCTL_TOKEN=$fleet_token CATKINCTL_DAEMONS
CATKINCTL_DAEMONS=$(printf '%s:9003,' "${fleet_addresses[@]}")
CATKINCTL_DAEMONS=${CATKINCTL_DAEMONS%,}
"$bin/catkinctl" put examples/documents/slotboard.json --expect 0 > /dev/null
"$bin/catkinctl" wait slotboard --timeout 30 > /dev/null 2>&1
sleep 1
entries=$(printf '%s:8080,' "${fleet_addresses[@]}")
"$bin/catkin_load" run --entry "${entries%,}" --callers 24 --rate 600 --seconds "$seconds" --seed "$seed" \
  --browse 2 --booking 2 --work-ms 10 --ledger "$dir/soak.callers" > "$dir/load.json" &
load=$!
trace="$dir/trace"
version=1
end=$((SECONDS + seconds - 3))
while ((SECONDS < end)); do
  victim=${fleet_addresses[RANDOM % ${#fleet_addresses[@]}]}
  what=$((RANDOM % 9))
  echo "$((SECONDS)) $what $victim" >> "$trace"
  case $what in
    0) kill -9 "$(cat "$dir/$victim.daemon.pid")"; sleep 0.3; fleet_start_daemon "$dir" "$bin" "$victim" ;;
    1) kill -9 "$(cat "$dir/$victim.target.pid")"; sleep 0.2; fleet_start_target "$dir" "$bin" "$victim" ;;
    2) kill -STOP "$(cat "$dir/$victim.daemon.pid")"; sleep 1; kill -CONT "$(cat "$dir/$victim.daemon.pid")" ;;
    3) kill -STOP "$(cat "$dir/$victim.target.pid")"; sleep 1; kill -CONT "$(cat "$dir/$victim.target.pid")" ;;
    4) kill "$(cat "$dir/$victim.daemon.pid")"; sleep 2.5; fleet_start_daemon "$dir" "$bin" "$victim" ;;
    5) curl -s "http://127.0.0.1:920$((RANDOM % 3 + 1))/control/silence" > /dev/null; sleep 0.5 ;;
    6) r=$((RANDOM % 3 + 1)); curl -s "http://127.0.0.1:920$r/control/cut" > /dev/null; sleep 1; curl -s "http://127.0.0.1:920$r/control/heal" > /dev/null ;;
    7) curl -s -X POST -d '{"down": true}' "http://$fleet_platform/control/faults" > /dev/null; sleep 1
       curl -s -X POST -d '{}' "http://$fleet_platform/control/faults" > /dev/null ;;
    8) (echo "// $version"; cat examples/documents/slotboard.json) > "$dir/next.json"
       "$bin/catkinctl" put "$dir/next.json" --expect $version > /dev/null 2>&1 && version=$((version + 1)) ;;
  esac
  sleep 0.3
done
wait "$load"
echo "seed $seed, load $(cat "$dir/load.json")"
if "$bin/catkin_load" check --callers "$dir"/*.callers --targets "$dir"/*.ledger; then
  "$bin/catkinctl" wait slotboard --timeout 30 2> /dev/null || { echo "not in force everywhere; trace:"; cat "$trace"; exit 3; }
else
  echo "breach; trace:"
  cat "$trace"
  exit 3
fi
