#!/usr/bin/env bash
# Compares calls through entry and gate with direct calls of the same targets, in one run:
# added latency at a fixed rate, greatest rate, transfer rate of 200 MB, memory at rest and under load.
#
#   latency.sh [pooled|naive]    naive keeps no connections open between daemons
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-pooled}
bin=$(mktemp -d) dir=$(mktemp -d)
ln -s "$PWD"/build/release/src/app_*/catkin* "$bin/"
. buildscripts/fleet.sh
trap 'fleet_stop "$dir" > /dev/null 2>&1 || true; rm -rf "$bin" "$dir"' EXIT
fleet_extra=""
[ "$mode" = naive ] && fleet_extra='"proxy": {"pool_idle": 0},'
fleet_start "$dir" "$bin" tree 1 slotboard
fleet_wait_ready "$dir"
export CATKINCTL_TOKEN=$fleet_token CATKINCTL_DAEMONS=127.1.1.1:9003
"$bin/catkinctl" put examples/documents/slotboard.json --expect 0 > /dev/null
"$bin/catkinctl" wait slotboard --timeout 20 > /dev/null 2>&1
sleep 2
load="$bin/catkin_load run --callers 6 --browse 1 --booking 0"
entries=127.1.1.1:8080,127.2.1.1:8080,127.3.1.1:8080
targets=127.1.1.1:8000,127.2.1.1:8000,127.3.1.1:8000
rss() { for f in "$dir"/*.daemon.pid; do awk '/VmRSS/ {print $2 / 1024}' "/proc/$(cat "$f")/status"; done | sort -n | tail -1; }
quantiles() { sed 's/.*"p50_ms":\([0-9.E-]*\),"p90_ms":[0-9.E-]*,"p99_ms":\([0-9.E-]*\).*/\1 \2/'; }
echo "mode $mode, resident MB at rest: $(rss)"
for round in 1 2 3; do
  read -r p50 p99 < <($load --entry "$entries" --rate 600 --seconds 5 --seed "$round" | quantiles)
  read -r d50 d99 < <($load --entry "$targets" --rate 600 --seconds 5 --seed "1$round" | quantiles)
  awk -v a="$p50" -v b="$p99" -v c="$d50" -v d="$d99" 'BEGIN {
    printf "through p50 %.3f p99 %.3f ms, direct p50 %.3f p99 %.3f ms, added p50 %.3f p99 %.3f ms (bound 0.37)\n", a, b, c, d, a - c, b - d }'
done
cpu() { for f in "$dir"/*.daemon.pid; do awk '{print ($14 + $15) / 100}' "/proc/$(cat "$f")/stat"; done | awk '{s += $1} END {print s}'; }
before=$(cpu)
result=$("$bin/catkin_load" run --callers 24 --browse 1 --booking 0 --entry "$entries" --seconds 5)
after=$(cpu)
sent=$(echo "$result" | sed 's/.*"sent":\([0-9]*\).*/\1/')
awk -v n="$sent" -v c="$(echo "$after - $before" | bc -l 2> /dev/null || awk "BEGIN {print $after - $before}")" 'BEGIN {
  printf "greatest rate %.0f calls/s, %.1f us of daemon processor a call (both daemons)\n", n / 5, c / n * 1e6 }'
echo "resident MB under load: $(rss)"
for name in through direct; do
  port=8080
  [ $name = direct ] && port=8000
  curl -s -o /dev/null -w "200 MB $name: %{speed_download} bytes/s\n" -H 'Host: slotboard' "http://127.1.1.1:$port/bytes?count=200000000"
done
