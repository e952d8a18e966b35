#!/usr/bin/env bash
# Sends one workload to a fresh fleet of 12 stand-in engines and 6 daemons for each routing kind in turn, with
# the same arrivals, and prints the rows side by side. Takes about 45 s a row.
#   scripts/experiment.sh popisnica           24 measured seconds
#   scripts/experiment.sh sorakaze 12         shorter
#   KINDS="briarhead random" SEED=2 RATE=1.2 STALL_WEIGHT=0.5 scripts/experiment.sh knee
#   BUILDS="build old=/tmp/old" KINDS=briarhead scripts/experiment.sh shift    two versions side by side
# JSON lines go to $OUT (a file) and the engines' records to $RECORDS (a folder) if set. briarhead_load --list names the workloads.
set -euo pipefail
cd "$(dirname "$0")/.."
workload=${1:?workload}
seconds=${2:-24}
build=${BUILD:-build}
kinds=${KINDS:-briarhead random least_loaded rendezvous_lru}
builds=${BUILDS:-$build}
first_port=${FIRST_PORT:-23000}
domains=(zg-dubrava zg-jankomir vz-centar ka-banija)
daemons=6
engines=12
step_ms=9
base_load_ms=16250 # 65 s
if [ "$workload" = sorakaze ]; then
  domains=(hakata-hall itazuke-hall kasuga-hall)
  step_ms=8
  base_load_ms=8750 # 35 s
fi
folder=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  pids=()
}
trap 'finish; rm -rf "$folder"' EXIT

url() { echo "http://127.0.0.1:$1"; }

# Only "cold" loads base models, at the start (the load waits for them) and again on the restarted engines.
start_standins() {
  local entries=() i load=0
  [ "$workload" = cold ] && load=$base_load_ms
  for ((i = 0; i < daemons; i++)); do
    entries+=("{\"name\":\"entry-$i\",\"region\":\"r\",\"failure_domain\":\"${domains[i % ${#domains[@]}]}\",
      \"address\":\"127.0.0.1\",\"port\":$((first_port + 100 + i)),\"caller_port\":$((first_port + i))}")
  done
  cat >"$folder/standins.json" <<JSON
{"kv": {"port": 0}, "live_list": {"port": 0, "lag_ms": 500}, "store": {"loads_per_second": 12},
 "engines": [{"name": "e", "count": $engines, "region": "r", "base_model": "base", "slots": 8,
   "batch_limit": 16, "step_ms": $step_ms, "step_ms_per_sequence": 1, "prefill_steps": 2,
   "checks_fencing": true, "base_load_ms": $load,
   "failure_domain": [$(printf '"%s",' "${domains[@]}" | sed 's/,$//')]}],
 "entries": [$(IFS=,; echo "${entries[*]}")]}
JSON
  rm -f "$folder/ports"
  "$1/tests/briarhead_standins" "$folder/standins.json" >"$folder/ports" 2>"$folder/standins.log" &
  standins_pid=$!
  pids+=($!)
  for _ in $(seq 100); do
    [ -s "$folder/ports" ] && return
    sleep 0.1
  done
  echo "the stand-ins did not start" >&2
  exit 1
}

start_daemon() { # build, index, routing kind
  cat >"$folder/entry-$2.json" <<JSON
{"instance": "entry-$2", "region": "r", "failure_domain": "${domains[$2 % ${#domains[@]}]}",
 "caller_address": "127.0.0.1", "caller_port": $((first_port + $2)),
 "peer_address": "127.0.0.1", "peer_port": $((first_port + 100 + $2)),
 "kv_urls": ["$(url "$(jq .kv "$folder/ports")")"],
 "live_list_url": "$(url "$(jq .live_list "$folder/ports")")",
 "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
 "operator_key_hashes": ["$(printf %s operator-key | b2sum -l 256 | cut -d' ' -f1)"],
 "routing": "$3", "log_level": "warn"}
JSON
  "$1/packages/daemon/briarheadd" --settings="$folder/entry-$2.json" 2>"$folder/entry-$2.log" &
  pids+=($!)
}

run_row() { # build, its label, routing kind, further options
  local i entries=()
  start_standins "$1"
  for ((i = 0; i < daemons; i++)); do
    start_daemon "$1" "$i" "$3"
    entries+=("$(url $((first_port + i)))")
  done
  "${LOAD:-$build/tools/briarhead_load}" --workload="$workload" --entries="$(IFS=,; echo "${entries[*]}")" \
    --engines="$(jq -r '[.engines[] | "http://127.0.0.1:\(.)"] | join(",")' "$folder/ports")" \
    --store="$(url "$(jq .store "$folder/ports")")" --operator-key=operator-key --label="$3$2" \
    --seconds="$seconds" --warm-up="${WARM_UP:-10}" --seed="${SEED:-1}" --rate="${RATE:-1}" \
    ${STALL_WEIGHT:+--stall-weight="$STALL_WEIGHT"} --standins-pid="$standins_pid" ${4:-} >"$folder/row" ||
    { echo "$3 failed" >&2; tail -n 3 "$folder"/*.log >&2; }
  grep '^|' "$folder/row" || true
  [ -z "${OUT:-}" ] || grep '^{' "$folder/row" >>"$OUT" || true
  for i in ${RECORDS:+$(seq "$engines")}; do
    curl -fs "$(url "$(jq ".engines[\"e$i\"]" "$folder/ports")")/standin/record" >"$RECORDS/$3$2-e$i.json" || true
  done
  finish
}

echo "commit $(git rev-parse --short HEAD), seed ${SEED:-1}, $(nproc) cores, load before $(cut -d' ' -f1-3 /proc/loadavg)"
head=--head
for kind in $kinds; do
  for each in $builds; do
    label=
    [[ $each == *=* ]] && label=" ${each%%=*}"
    run_row "${each#*=}" "$label" "$kind" "$head"
    head=
  done
done
echo "load after $(cut -d' ' -f1-3 /proc/loadavg)"
