#!/usr/bin/env bash
# Builds and runs the measurements behind docs/CAPACITY.md and prints one table; takes under six minutes.
#   scripts/slopes.sh                  all of it
#   scripts/slopes.sh --quick          small fleets, to see that it works
#   scripts/slopes.sh --sizes=3,9,30 --large=0
# It starts up to 160 processes on loopback, in a network namespace of its own where that is allowed: then no
# port clashes with another program's, and the loopback's own counters hold this run's traffic only.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
jobs=${JOBS:-4}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_C_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" -j "$jobs" --target briarheadd briarhead_standins_main briarhead_slopes >/dev/null
if git rev-parse --short HEAD >/dev/null 2>&1; then
  echo "commit $(git rev-parse --short HEAD), $(git status --short packages | wc -l) files of packages/ differ from it"
fi
echo "$(nproc) cores, load before: $(cut -d' ' -f1-3 /proc/loadavg)"
run=("$build/tests/briarhead_slopes" "$@")
if unshare -rn true 2>/dev/null; then
  unshare -rn sh -c 'ip link set lo up && exec "$@"' sh "${run[@]}"
else
  echo "no namespace of its own: the loopback's figures hold other programs' traffic too"
  "${run[@]}"
fi
echo "load after: $(cut -d' ' -f1-3 /proc/loadavg)"
