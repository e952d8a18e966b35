#!/usr/bin/env bash
# The demonstration's fleet, left standing until interrupted.
FIRST_PORT=8080
source "$(dirname "$0")/fleet.sh"
start_fleet
cat <<TEXT
briarhead stands: callers on http://127.0.0.1:${caller_ports[0]} (also :${caller_ports[1]} and :${caller_ports[2]}).

  curl http://127.0.0.1:8080/v1/completions -H 'Authorization: Bearer demo' -H 'Content-Type: application/json' \\
    -d '{"model": "popisnica/syllabus-summary", "prompt": "Summarise week 1.", "max_tokens": 16}'

  BRIARHEAD_OPERATOR_KEY=$BRIARHEAD_OPERATOR_KEY $ctl servers

Interrupt to end it.
TEXT
sleep infinity &
pids+=($!)
wait $! || true
