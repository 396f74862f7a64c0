#!/usr/bin/env bash
# Runs a small Halvorsen: installs, builds, starts stand-ins and daemons, puts the documents, changes one
# under load, and reports. Exits 0 only if the ledger is clean.
set -euo pipefail
cd "$(dirname "$0")/.."
./buildscripts/install_packages.sh
./buildscripts/build.sh build/release all -DCMAKE_BUILD_TYPE=RelWithDebInfo
bin=$(mktemp -d) dir=$(mktemp -d)
ln -s "$PWD"/build/release/src/app_*/catkin* "$bin/"
. buildscripts/fleet.sh
trap 'fleet_stop "$dir" > /dev/null 2>&1 || true; rm -rf "$bin" "$dir"' EXIT
fleet_links=1
fleet_start "$dir" "$bin" tree 3 slotboard bookdesk lookbook
fleet_wait_ready "$dir"
export CATKINCTL_TOKEN=$fleet_token CATKINCTL_DAEMONS=127.1.1.1:9003,127.2.1.1:9003
ctl="$bin/catkinctl"
for service in slotboard bookdesk lookbook; do
  "$ctl" put "examples/documents/$service.json" --expect 0
  "$ctl" wait "$service" --timeout 20 2> /dev/null
done
"$ctl" members
sleep 2

echo "-- load through an entry in each region while slotboard changes"
entries=127.1.1.1:8080,127.2.1.2:8080,127.3.2.1:8080
"$bin/catkin_load" run --entry "$entries" --callers 12 --rate 600 --seconds 10 \
  --ledger "$dir/slotboard.callers" > "$dir/load.json" &
load=$!
"$bin/catkin_load" run --entry "$entries" --service lookbook --callers 3 --seconds 10 --seed 2 \
  --browse 0 --booking 0 --download 1 --download-bytes 5000000 --ledger "$dir/lookbook.callers" > "$dir/download.json" &
downloads=$!
daemons=$(printf '%s:9003,' "${fleet_addresses[@]}")
sed "s/slotboard/eligibility/" examples/documents/slotboard.json > "$dir/change.json"
"$bin/catkin_load" converge --daemon "${daemons%,}" --document "$dir/change.json" --changes 10 --pause-ms 300 \
  --rest-ms 3000 > "$dir/converge.json"
wait "$load" "$downloads"

echo "-- convergence, control bytes"
cat "$dir/converge.json"
echo "-- latencies of browsing and bookings, then downloads"
cat "$dir/load.json" "$dir/download.json"
echo "-- ledger"
"$bin/catkin_load" check --callers "$dir"/*.callers --targets "$dir"/*.ledger
