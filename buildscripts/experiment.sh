#!/usr/bin/env bash
# Measures distribution with real processes.
#
#   experiment.sh rest STRATEGY PER_DATA_CENTRE         bytes on the wire at rest and a change, no links
#   experiment.sh converge STRATEGY PER_DATA_CENTRE     time to in force everywhere, links of 12 ms
#   experiment.sh recover STRATEGY PER_DATA_CENTRE CASE readers | third | store | apart
#
# There are six data centres, so 2, 6, 12 and 24 stand for 12, 36, 72 and 144 daemons. Each prints one
# line of JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=$1 strategy=$2 per=$3 case=${4:-}
bin=$(mktemp -d)
ln -s "$PWD"/build/release/src/app_*/catkin* "$bin/"
rm -f "$bin"/*.dir
dir=$(mktemp -d)
. buildscripts/fleet.sh
export CATKINCTL_TOKEN=$fleet_token
document=examples/documents/slotboard.json

finish() {
  fleet_stop "$dir" > /dev/null 2>&1 || true
  rm -rf "$dir" "$bin"
}
trap finish EXIT

daemon_list() { local all; all=$(printf '%s:9003,' "${fleet_addresses[@]}"); echo "${all%,}"; }
wire_bytes() { awk '/lo:/ {sub("lo:", ""); print $1}' /proc/net/dev; }
metric_sum() { # NAME ADDRESS...
  local name=$1 a
  shift
  for a in "$@"; do curl -s "http://$a:9003/metrics"; done | awk -v n="$name" '$1 == n {s += $2} END {print s + 0}'
}
platform_reads() { curl -s "http://$fleet_platform/control/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'; }
now_ms() { date +%s%3N; }

await_members() {
  local address tries
  for address in "${fleet_addresses[@]}"; do
    for ((tries = 0; tries < 600; ++tries)); do
      [ "$(curl -s "http://$address:9003/metrics" | awk '$1 == "catkinmoor_members" {print $2}')" = "${#fleet_addresses[@]}" ] && break
      sleep 0.1
    done
  done
}

start() {
  fleet_start "$dir" "$bin" "$strategy" "$per" > /dev/null
  fleet_wait_ready "$dir"
  await_members
  sleep 2
}

# The milliseconds until every daemon given has a version in force.
await_version() { # VERSION BEGIN_MS ADDRESS...
  local version=$1 begin=$2 address tries
  shift 2
  for address in "$@"; do
    for ((tries = 0; tries < 1200; ++tries)); do
      curl -s -H "authorization: Bearer $fleet_token" "http://$address:9003/v1/documents" 2> /dev/null |
        grep -q "\"version\":$version," && break
      sleep 0.05
    done
    ((tries < 1200)) || { echo "never"; return; }
  done
  echo $(($(now_ms) - begin))
}

put() { # ADDRESS EXPECT
  (echo "// change $2"; cat "$document") > "$dir/put.json"
  "$bin/catkinctl" --daemon "$1:9003" put "$dir/put.json" --expect "$2" > /dev/null
}

restart() { # ADDRESS...
  local address
  for address in "$@"; do fleet_start_daemon "$dir" "$bin" "$address"; done
}

kill_daemons() { # ADDRESS...
  local address
  for address in "$@"; do kill -9 "$(cat "$dir/$address.daemon.pid")"; done
}

# Peak of the platform's reads in a second, seen while a command runs.
watch_reads() { # FILE
  local before after most=0
  before=$(platform_reads)
  while [ ! -f "$1" ]; do
    sleep 1
    after=$(platform_reads)
    ((after - before > most)) && most=$((after - before))
    before=$after
  done
  echo "$most" > "$1.peak"
}

case $kind in
  rest)
    start
    count=${#fleet_addresses[@]}
    wire0=$(wire_bytes) cpu0=$(metric_sum catkinmoor_processor_seconds "${fleet_addresses[@]}") t0=$(now_ms)
    wire0=$(wire_bytes)
    sleep 10
    wire1=$(wire_bytes) t1=$(now_ms)
    cpu1=$(metric_sum catkinmoor_processor_seconds "${fleet_addresses[@]}")
    wire2=$(wire_bytes)
    for i in 0 1 2 3 4 5 6 7 8 9; do put "${fleet_addresses[i % count]}" "$i"; sleep 0.5; done
    wire3=$(wire_bytes) t3=$(now_ms)
    rss=$(for f in "$dir"/*.daemon.pid; do awk '/VmRSS/ {print $2}' "/proc/$(cat "$f")/status"; done | sort -n | tail -1)
    awk -v n="$count" -v w=$((wire1 - wire0)) -v t=$((t1 - t0)) -v c0="$cpu0" -v c1="$cpu1" \
      -v w2=$((wire3 - wire2)) -v t2=$((t3 - t1)) -v rss="$rss" -v s="$strategy" 'BEGIN {
        rate = w / (t / 1000); change = (w2 - rate * t2 / 1000) / 10 / n
        printf "{\"strategy\":\"%s\",\"daemons\":%d,\"wire_bytes_per_daemon_s\":%.0f,\"wire_bytes_per_daemon_change\":%.0f,\"core_share_per_daemon\":%.4f,\"resident_mb\":%.1f}\n",
          s, n, rate / n, change, (c1 - c0) / (t / 1000) / n, rss / 1024 }'
    ;;
  converge)
    fleet_links=1
    start
    echo "{\"strategy\":\"$strategy\",\"report\":$("$bin/catkin_load" converge --daemon "$(daemon_list)" --document "$document" --changes 20 --pause-ms 200 --rest-ms 3000)}"
    ;;
  recover)
    fleet_links=1
    start
    put "${fleet_addresses[0]}" 0
    await_version 1 "$(now_ms)" "${fleet_addresses[@]}" > /dev/null
    flag="$dir/done"
    watch_reads "$flag" &
    watcher=$!
    begin=$(now_ms)
    case $case in
      readers)
        # The two readers of each region are found by who reads the source.
        victims=()
        for a in "${fleet_addresses[@]}"; do
          r0=$(metric_sum catkinmoor_source_reads_total "$a"); sleep 0.02
          victims+=("$r0 $a")
        done
        sleep 3
        readers=()
        for v in "${victims[@]}"; do
          r1=$(metric_sum catkinmoor_source_reads_total "${v#* }")
          [ "$r1" != "${v%% *}" ] && readers+=("${v#* }")
        done
        kill_daemons "${readers[@]}"
        rest=()
        for a in "${fleet_addresses[@]}"; do [[ " ${readers[*]} " == *" $a "* ]] || rest+=("$a"); done
        begin=$(now_ms)
        put "${rest[0]}" 1
        took=$(await_version 2 "$begin" "${rest[@]}")
        detail="\"killed\":${#readers[@]}"
        restart "${readers[@]}"
        ;;
      third)
        killed=()
        for ((i = 0; i < ${#fleet_addresses[@]}; i += 3)); do killed+=("${fleet_addresses[i]}"); done
        kill_daemons "${killed[@]}"
        put "${fleet_addresses[1]}" 1
        begin=$(now_ms)
        restart "${killed[@]}"
        took=$(await_version 2 "$begin" "${fleet_addresses[@]}")
        detail="\"killed\":${#killed[@]}"
        ;;
      store)
        curl -s -X POST -d '{"down": true}' "http://$fleet_platform/control/faults" > /dev/null
        sleep 60
        curl -s -X POST -d '{}' "http://$fleet_platform/control/faults" > /dev/null
        begin=$(now_ms)
        until put "${fleet_addresses[0]}" 1 2> /dev/null; do sleep 0.1; done
        took=$(await_version 2 "$begin" "${fleet_addresses[@]}")
        detail="\"down_s\":60"
        ;;
      apart)
        for r in 1 2 3; do curl -s "http://127.0.0.1:920$r/control/cut" > /dev/null; done
        sleep 20
        put "${fleet_addresses[0]}" 1
        sleep 1
        for r in 1 2 3; do curl -s "http://127.0.0.1:920$r/control/heal" > /dev/null; done
        begin=$(now_ms)
        took=$(await_version 2 "$begin" "${fleet_addresses[@]}")
        detail="\"apart_s\":21"
        ;;
    esac
    touch "$flag"
    wait "$watcher"
    echo "{\"strategy\":\"$strategy\",\"daemons\":${#fleet_addresses[@]},\"case\":\"$case\",\"in_force_ms\":\"$took\",\"peak_source_reads_s\":$(cat "$flag.peak"),$detail}"
    ;;
esac
