#!/usr/bin/env bash
# What each mechanism of policy is worth: switches them off one by one in copies of the tree and plays days with each.
#
# Usage: scripts/ablate.sh BENCH OUT SITE...
#   BENCH   the players' program
#   OUT     a folder for the copies, their builds and the journals, which are to be kept
#   SITE    site files
# DAYS and SEEDS choose what is played (each day with each seed), JOBS how many days at a time. A line a mechanism and site
# gives the mean worth, its standard error and the share served. A pattern that no longer matches ends the run.
set -euo pipefail
days=${DAYS:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}
seeds=${SEEDS:-1 2 3 4}
jobs=${JOBS:-4}
bench=$(realpath "$1")
mkdir -p "$2"
out=$(realpath "$2")
shift 2
root=$(cd "$(dirname "$0")/.." && pwd)

# name | file in packages/scheduling | pattern | replacement
mechanisms() {
    cat <<'TABLE'
none            | choose_server.h | ^$ | 
remembered      | choose_server.h | cachedPenaltyMs = 500; | cachedPenaltyMs = 1'400;
apart           | choose_server.h | longResponsePenaltyMs = 120; | longResponsePenaltyMs = 0;
hash-rank       | choose_server.h | hashRankPenaltyMs = 150; | hashRankPenaltyMs = 0;
copies-dear     | choose_server.h | absentPenaltyMs = 900; | absentPenaltyMs = 350;
failures        | choose_server.h | failurePenaltyMs = 2'000; | failurePenaltyMs = 0;
on-time-first   | slot_queue.cpp | return now + millis{std::llround(readMs)} + firstEventMargin <= prompt.targetAt; | return readMs >= 0 \&\& now >= millis{} \&\& prompt.targetAt >= millis{} \&\& firstEventMargin >= millis{};
read-window     | slot_queue.h   | maxReadAheadMs = 170.0; | maxReadAheadMs = 2'000.0;
TABLE
}

# Plays one day in the current folder: site, day, seed, name.
play() {
    "$bench" run "$1" "$2" --seed "$3" --no-cpu --jobs 1 --why "Ablation: without $4" 2>&1 | grep "^$2 " || true
}
export -f play
export bench

while IFS='|' read -r name file pattern with; do
    name=$(echo $name) file=$(echo $file)
    pattern=$(echo "$pattern" | sed 's/^ //; s/ *$//') with=$(echo "$with" | sed 's/^ //; s/ *$//')
    copy=$out/$name
    rm -rf "$copy"
    git clone -q "$root" "$copy"
    if [ "$name" != none ]; then
        grep -qF "$pattern" "$copy/packages/scheduling/$file" || { echo "$name: its pattern is gone" >&2; exit 1; }
        escaped=$(printf '%s' "$pattern" | sed 's/[][\.*^$/]/\\&/g')
        sed -i "s/$escaped/${with//\//\\/}/" "$copy/packages/scheduling/$file"
    fi
    (cd "$copy" && "$bench" build >build.log 2>&1) || { echo "$name: does not build" >&2; exit 1; }
    for site in "$@"; do
        for day in $days; do for seed in $seeds; do echo "$(realpath "$site") $day $seed $name"; done; done |
            (cd "$copy" && xargs -P "$jobs" -L 1 bash -c 'play "$@"' play) |
            awk -v name="$name" -v site="$(basename "$site" .toml)" '{ w += $4; q += $4 * $4; s += $5; ++n }
                END { m = w / n; printf "%-14s %-24s n %d worth %.4f +- %.4f served %.3f\n", name, site, n, m, sqrt((q / n - m * m) / n), s / n }'
    done
done < <(mechanisms)
