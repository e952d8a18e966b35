#!/usr/bin/env bash
# Runs the failure tests against real processes and prints what each fault cost, as counted from the callers'
# answers and the engines' own records; takes about three minutes.
#   scripts/faults.sh                 all of them
#   scripts/faults.sh 'Pairs*'        those that a GoogleTest filter names
# "lost": told done without a whole answer of its own, or no answer at all (a shutdown's callers that find the
# port closed count here too). "delayed": answered after more than a second. "whole": milliseconds from the
# fault until all was served again. The exit code is that of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
jobs=${JOBS:-4}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_C_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" -j "$jobs" --target failure_tests >/dev/null
echo "commit $(git rev-parse --short HEAD), $(git status --short packages tests | wc -l) files differ from it"
echo "$(nproc) cores, load before: $(cut -d' ' -f1-3 /proc/loadavg)"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
failed=0
"$build/tests/failure_tests" --gtest_filter="${1:-*}" >"$log" 2>&1 || failed=$?
echo "| fault | requests | lost | doubled | wrong adapter or version | unknown | not run | delayed | whole, ms |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
sed -n 's/^FAULT //p' "$log"
grep -a '^\[  FAILED  \]\|^\[  PASSED  \]\|suites ran' "$log" || true
echo "load after: $(cut -d' ' -f1-3 /proc/loadavg)"
exit "$failed"
