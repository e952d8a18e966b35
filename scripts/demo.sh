#!/usr/bin/env bash
# The demonstration: real-looking work of both users through three daemons, one of which is killed midway.
# Exits 0 only if every answer was right.
FIRST_PORT=${FIRST_PORT:-18080}
source "$(dirname "$0")/fleet.sh"

ask() { # entry index, adapter, prompt, tokens
  curl -sS -D "$folder/headers" -w '%{time_total}' -o "$folder/answer" \
    "http://127.0.0.1:${caller_ports[$1]}/v1/completions" -H 'Authorization: Bearer demo' \
    -H 'Content-Type: application/json' -H 'X-Deadline-Ms: 20000' \
    -d "$(jq -n --arg m "$2" --arg p "$3" --argjson n "$4" '{model: $m, prompt: $p, max_tokens: $n}')"
}

expect() { # entry index, adapter, version, what it is, prompt
  local seconds
  seconds=$(ask "$1" "$2" "$5" 24) || fail "no answer for $4"
  local model
  model=$(jq -r .model "$folder/answer")
  [ "$model" = "$2:$3" ] || fail "$4 ran on '$model' instead of $2:$3: $(cat "$folder/answer")"
  printf '  %-22s entry-%s  %-30s %-10s %s s, waited %s ms for its adapter\n' "$4" "$(($1 + 1))" "$model" \
    "$(sed -n 's/^X-Briarhead-Server: //Ip' "$folder/headers" | tr -d '\r')" "$seconds" \
    "$(sed -n 's/^X-Briarhead-Stall-Ms: //Ip' "$folder/headers" | tr -d '\r')"
}

work() { # entry index
  expect "$1" popisnica/syllabus-summary 1 "syllabus summary" \
    "Summarise: Uvod u bazu podataka. Week 1 relational model, week 2 normal forms, week 3 transactions."
  expect "$1" sorakaze/galley-load-plan "$plan_version" "galley load plan" \
    "Flight NH 256 FUK-HND: 214 pax, 6 halal, 3 nut allergy, 2 child meals. Plan trolleys for doors 1L and 2R."
  expect "$1" sorakaze/special-meals 1 "special meals" "Manifest row 14C: CHML, row 22A: MOML, row 30F: VGML."
}

order_status() { # entry index, key
  curl -sS -o "$folder/answer" -w '%{http_code}' "http://127.0.0.1:${caller_ports[$1]}/orders/NH256/status" \
    -H 'Authorization: Bearer demo' -H "Idempotency-Key: $2" -H 'Idempotency-Attempt: 1' -d '{"flight":"NH256"}'
}

plan_version=3
echo "Starting stand-ins and three daemons."
start_fleet
echo "Configuration version 1 is accepted:"
"$ctl" instances
echo "Work through each entry:"
for i in 0 1 2; do
  work "$i"
done
status=$(order_status 0 first) || fail "no order status"
[ "${status:0:1}" = 2 ] || fail "order status answered $status: $(cat "$folder/answer")"
echo "  order status           $(head -c 100 "$folder/answer")"

echo "A patch moves the galley plan back to version 2:"
echo '{"base": 1, "id": "demo-second", "by": "demo", "set": {"adapters": {"sorakaze/galley-load-plan":
  {"base_model": "base-7b", "active": 2, "versions": [2, 3]}}}}' | "$ctl" patch - || fail "the second patch was refused"
for _ in $(seq 100); do
  [ "$("$ctl" instances --json | jq '[.instances[] | select(.config_version == 2)] | length')" = 3 ] && break
  sleep 0.1
done
plan_version=2
for i in 0 1 2; do
  expect "$i" sorakaze/galley-load-plan "$plan_version" "galley load plan" "Flight NH 258 FUK-HND: 198 pax, 4 halal."
done
echo "A patch against version 1 is stale now:"
echo '{"base": 1, "id": "demo-stale", "by": "demo", "set": {"policy": {"stall_weight": 0.9}}}' |
  "$ctl" patch - && fail "a stale patch was accepted"

echo "Killing entry-3 while work goes on:"
kill -KILL "${daemon_pids[2]}"
for i in 0 1 0 1; do
  work "$i"
done
echo "Servers now:"
"$ctl" servers
echo "Shutting down entry-2 in order:"
kill -TERM "${daemon_pids[1]}"
if wait "${daemon_pids[1]}"; then
  echo "  entry-2 ended with exit code 0"
else
  fail "entry-2 did not shut down cleanly"
fi
work 0
violations=0
for port in $(jq '.engines[]' "$folder/ports"); do
  violations=$((violations + $(curl -sS "http://127.0.0.1:$port/standin/summary" | jq '[.violations[]] | add // 0')))
done
[ "$violations" = 0 ] || fail "the engines saw $violations violations"
echo "All answers were right; the engines saw no violation."
