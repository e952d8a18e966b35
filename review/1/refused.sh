#!/usr/bin/env bash
# Plays the fault of case 1 with one disruption, against the rule REFUSED, and writes record-refused.txt here.
# Exit codes: 1 the rule was broken, 0 it held, 2 it couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x review/bin/case-1-refused ] || [ ! -x target/platform/briarhead-edge ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
set -m # the case and the daemons that it starts get a process group of their own
timeout --foreground 118 review/bin/case-1-refused "$folder" &
case=$!
trap 'kill -KILL -- "-$case" 2>/dev/null' EXIT
wait "$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
