# Starts stand-ins and daemons for the demonstration; sourced by demo.sh and serve.sh.
# Everything that is started here is ended by its process id when the script ends.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${BUILD:-build}
folder=$(mktemp -d)
pids=()
domains=(zg-dubrava vz-centar hakata-hall)
caller_ports=("${FIRST_PORT:-8080}" "$((${FIRST_PORT:-8080} + 1))" "$((${FIRST_PORT:-8080} + 2))")
peer_ports=("$((${FIRST_PORT:-8080} + 100))" "$((${FIRST_PORT:-8080} + 101))" "$((${FIRST_PORT:-8080} + 102))")
export BRIARHEAD_OPERATOR_KEY=operator-demo-key
export BRIARHEAD_DAEMON=http://127.0.0.1:${caller_ports[0]}
ctl="$build/packages/ctl/briarheadctl"

finish() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

fail() {
  echo "FAILED: $*" >&2
  for log in "$folder"/*.log; do
    echo "--- $(basename "$log")" >&2
    tail -n 20 "$log" >&2
  done
  exit 1
}

start_standins() {
  local entries=()
  for i in 0 1 2; do
    entries+=("{\"name\":\"entry-$((i + 1))\",\"region\":\"demo\",\"failure_domain\":\"${domains[$i]}\",
      \"address\":\"127.0.0.1\",\"port\":${peer_ports[$i]},\"caller_port\":${caller_ports[$i]}}")
  done
  cat >"$folder/standins.json" <<JSON
{"kv": {"port": 0}, "live_list": {"port": 0, "lag_ms": 500}, "store": {"loads_per_second": 3},
 "engines": [{"name": "engine-", "count": 6, "region": "demo", "base_model": "base-7b", "slots": 4,
   "batch_limit": 16, "step_ms": 9, "checks_fencing": true,
   "failure_domain": ["${domains[0]}", "${domains[1]}", "${domains[2]}"]}],
 "services": [{"name": "orders-1", "service": "orders", "region": "demo", "failure_domain": "${domains[2]}"}],
 "entries": [$(IFS=,; echo "${entries[*]}")]}
JSON
  "$build/tests/briarhead_standins" "$folder/standins.json" >"$folder/ports" 2>"$folder/standins.log" &
  pids+=($!)
  for _ in $(seq 100); do
    [ -s "$folder/ports" ] && break
    sleep 0.1
  done
  [ -s "$folder/ports" ] || fail "the stand-ins did not start"
  kv_port=$(jq .kv "$folder/ports")
  list_port=$(jq .live_list "$folder/ports")
}

start_daemon() { # index from 0
  local i=$1 operator_hash
  operator_hash=$(printf %s "$BRIARHEAD_OPERATOR_KEY" | "$ctl" hash-key)
  cat >"$folder/entry-$((i + 1)).json" <<JSON
{"instance": "entry-$((i + 1))", "region": "demo", "failure_domain": "${domains[$i]}",
 "caller_address": "127.0.0.1", "caller_port": ${caller_ports[$i]},
 "peer_address": "127.0.0.1", "peer_port": ${peer_ports[$i]},
 "kv_urls": ["http://127.0.0.1:$kv_port"], "live_list_url": "http://127.0.0.1:$list_port",
 "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
 "operator_key_hashes": ["$operator_hash"]}
JSON
  "$build/packages/daemon/briarheadd" --settings="$folder/entry-$((i + 1)).json" 2>"$folder/entry-$((i + 1)).log" &
  daemon_pids[$i]=$!
  pids+=($!)
}

wait_ready() { # index from 0
  for _ in $(seq 300); do
    curl -fs "http://127.0.0.1:${caller_ports[$1]}/readyz" >/dev/null 2>&1 && return
    sleep 0.1
  done
  fail "entry-$(($1 + 1)) did not become ready"
}

first_configuration() {
  local demo_hash
  demo_hash=$(printf %s demo | "$ctl" hash-key)
  cat <<JSON
{"base": 0, "id": "demo-first", "by": "demo", "note": "Adapters, callers and rules of the demonstration",
 "set": {
  "adapters": {
   "popisnica/syllabus-summary": {"base_model": "base-7b", "active": 1, "versions": [1]},
   "popisnica/reading-list": {"base_model": "base-7b", "active": 1, "versions": [1]},
   "sorakaze/galley-load-plan": {"base_model": "base-7b", "active": 3, "versions": [2, 3]},
   "sorakaze/special-meals": {"base_model": "base-7b", "active": 1, "versions": [1]}},
  "callers": {"demo": {"key_hash": "$demo_hash", "groups": ["lecturers", "dispatch"]}},
  "services": {"orders": {"path_prefix": "/orders", "idempotent": false, "timeout_ms": 5000}},
  "rules": {
   "lecturers": {"callers": "group:lecturers", "adapters": "popisnica/*", "best": "normal"},
   "dispatch": {"callers": "group:dispatch", "adapters": "sorakaze/*", "best": "urgent"},
   "orders": {"callers": "group:dispatch", "service": "orders", "best": "high"}},
  "targets": {
   "plans-on-time": {"callers": "group:dispatch", "adapters": "sorakaze/*", "whole_ms": 4000, "share": 0.95, "penalty": 40},
   "summaries": {"callers": "group:lecturers", "adapters": "popisnica/*", "first_token_ms": 1500, "share": 0.95, "penalty": 5}}}}
JSON
}

start_fleet() {
  start_standins
  daemon_pids=()
  for i in 0 1 2; do
    start_daemon "$i"
  done
  for _ in $(seq 200); do
    first_configuration | "$ctl" patch - >"$folder/patch.out" 2>&1 && break
    sleep 0.1
  done
  grep -q . "$folder/patch.out" || fail "the first patch was not accepted"
  for i in 0 1 2; do
    wait_ready "$i"
  done
  for _ in $(seq 300); do
    [ "$("$ctl" servers --json | jq '[.servers[] | select(.role == "serving")] | length')" = 6 ] && return
    sleep 0.1
  done
  fail "the engines did not all get an owner"
}
