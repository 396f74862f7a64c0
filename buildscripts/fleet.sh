# Starts and stops a small fleet on loopback addresses. Sourced by the demo and the experiments.
#
#   fleet_start DIR BIN STRATEGY PER_DATA_CENTRE SERVICE...
#
# starts the platform stand-in and, in three regions of two data centres, PER_DATA_CENTRE vms each,
# a daemon and a target of the next SERVICE in turn. The vm 127.R.D.K is the K-th of data centre D in
# region R. Settings, logs and ledgers lie in DIR.

fleet_regions=(puget willamette inland)
fleet_token=demo-token
fleet_platform=127.0.0.1:9100

fleet_hmac() {
  printf '%s' "$fleet_token" | openssl dgst -sha256 -hmac demo-key -r | cut -d' ' -f1
}

# With fleet_links=1 the regions reach each other through link stand-ins of 12 ms each way.
fleet_links=0
fleet_extra=""
fleet_link_delay_ms=12
# Links listen this much above the ports they lead to, region by region; all stay below the ports
# that the system gives to outgoing connections.
fleet_link_offset=3000

fleet_link_rules() { # REGION_NUMBER
  local s rules=""
  ((fleet_links)) || return 0
  for s in 0 1 2 3; do
    # The platform, in subnet 0, stands in the first region.
    ((s == $1 || (s == 0 && $1 == 1))) && continue
    rules+="{\"prefix\": \"127.$s.\", \"port_offset\": $((fleet_link_offset * $1))},"
  done
  printf '"links": [%s],' "$rules"
}

fleet_start_links() { # DIR BIN
  local r
  for r in 1 2 3; do
    "$2/catkin_link" --port-offset $((fleet_link_offset * r)) --port 9001,9002,9100 --delay-ms "$fleet_link_delay_ms" \
      --control "127.0.0.1:920$r" > "$1/link$r.log" 2>&1 &
    echo $! > "$1/link$r.pid"
  done
}

fleet_daemon_settings() { # DIR ADDRESS REGION DATA_CENTRE STRATEGY REGION_NUMBER
  cat > "$1/$2.daemon.json" <<JSON
{
  "vm": "vm-$2", "region": "$3", "data_centre": "$4", "address": "$2",
  "platform": "$fleet_platform", $fleet_extra $(fleet_link_rules "$6")
  "token_key": "demo-key",
  "teams": [{"team": "*", "token_hmac": "$fleet_hmac_value"}],
  "distribution": {"strategy": "$5"}
}
JSON
}

fleet_target_settings() { # DIR ADDRESS SERVICE
  cat > "$1/$2.target.json" <<JSON
{
  "service": "$3", "address": "$2:8000", "daemon": "$2:9004", "exit": "$2:8081",
  "slots": 10, "labels": {"track": "stable"}, "ledger": "$1/$2.ledger"
}
JSON
}

fleet_start_daemon() { # DIR BIN ADDRESS
  "$2/catkinmoord" --settings "$1/$3.daemon.json" >> "$1/$3.daemon.log" 2>&1 &
  echo $! > "$1/$3.daemon.pid"
}

fleet_start_target() { # DIR BIN ADDRESS
  "$2/catkin_target" --settings "$1/$3.target.json" >> "$1/$3.target.log" 2>&1 &
  echo $! > "$1/$3.target.pid"
}

fleet_start() {
  local dir=$1 bin=$2 strategy=$3 per=$4 r d k address turn=0
  shift 4
  local services=("$@")
  mkdir -p "$dir"
  fleet_hmac_value=$(fleet_hmac)
  fleet_addresses=()
  "$bin/catkin_platform" --listen "$fleet_platform" > "$dir/platform.log" 2>&1 &
  echo $! > "$dir/platform.pid"
  ((fleet_links)) && fleet_start_links "$dir" "$bin"
  for r in 1 2 3; do
    for d in 1 2; do
      for ((k = 1; k <= per; ++k)); do
        address=127.$r.$d.$k
        fleet_addresses+=("$address")
        fleet_daemon_settings "$dir" "$address" "${fleet_regions[r-1]}" "${fleet_regions[r-1]}-$d" "$strategy" "$r"
        fleet_start_daemon "$dir" "$bin" "$address"
        if ((${#services[@]} > 0)); then
          fleet_target_settings "$dir" "$address" "${services[turn++ % ${#services[@]}]}"
          fleet_start_target "$dir" "$bin" "$address"
        fi
      done
    done
  done
}

# Waits until every daemon says that it is ready.
fleet_wait_ready() { # DIR
  local address tries
  for address in "${fleet_addresses[@]}"; do
    for ((tries = 0; tries < 300; ++tries)); do
      curl -sf -o /dev/null "http://$address:9003/readyz" && break
      sleep 0.1
    done
    ((tries < 300)) || { echo "not ready: $address" >&2; return 1; }
  done
}

fleet_stop() { # DIR
  local file
  for file in "$1"/*.target.pid; do [ -f "$file" ] && kill "$(cat "$file")" 2> /dev/null; done
  for file in "$1"/*.daemon.pid; do [ -f "$file" ] && kill "$(cat "$file")" 2> /dev/null; done
  wait_file() { while kill -0 "$(cat "$1")" 2> /dev/null; do sleep 0.05; done; }
  for file in "$1"/*.target.pid "$1"/*.daemon.pid; do [ -f "$file" ] && wait_file "$file"; done
  for file in "$1"/link*.pid "$1/platform.pid"; do [ -f "$file" ] && kill "$(cat "$file")" 2> /dev/null; done
  rm -f "$1"/*.pid
}
