#!/bin/sh
# Runs spin over every model: the full protocol must hold, and each mutant (one guard taken out) must
# give a counterexample of the property that the guard is there for. Prints one line a case, in the
# order of the table below, and exits non-zero if any failed.
#
#   model/check.sh            all cases, JOBS (default 3) at a time
#   model/check.sh WORD       only the cases whose name contains WORD
#   KEEP=1 model/check.sh ... keeps the working directory, with counterexamples, and prints its name
set -u

modelDir=$(cd "$(dirname "$0")" && pwd)
memoryLimitMb=2000
searchDepth=200000
caseTimeoutS=80 # only a net: the bounds of the models end each search long before

# name | model | verdict | options for spin
# Verdicts: "holds", "live" (an LTL property holds under weak fairness), "breaks REGEX" (an assertion
# that matches REGEX fails), "stuck" (the LTL property has a counterexample).
cases() {
    cat <<'TABLE'
ownership-checking           | ownership.pml | holds | -DCHECKS_FENCING=1
ownership-checking-three     | ownership.pml | holds | -DCHECKS_FENCING=1 -DDAEMONS=3 -DEPOCH_MAX=1
ownership-checking-restart   | ownership.pml | holds | -DCHECKS_FENCING=1 -DENGINE_RESTARTS=1
ownership-non-checking       | ownership.pml | holds | -DCHECKS_FENCING=0
ownership-checking-live      | ownership.pml | live  | -DCHECKS_FENCING=1 -DLIVENESS=1
ownership-non-checking-live  | ownership.pml | live  | -DCHECKS_FENCING=0 -DLIVENESS=1
no-self-fence                | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_SELF_FENCE
no-grace                     | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_GRACE
no-grace-fence               | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_GRACE_FENCE
no-serve-wait                | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_SERVE_WAIT
no-evict-wait                | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_EVICT_WAIT
no-evict-wait-grace          | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_EVICT_WAIT_GRACE
no-order-life                | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_ORDER_LIFE
no-stale-no-evict            | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_STALE_NO_EVICT
no-lease-from-send           | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_LEASE_FROM_SEND
no-takeover-after-lease      | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_TAKEOVER_AFTER_LEASE
no-read-back                 | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_READ_BACK
no-read-back-checking        | ownership.pml | breaks tokenHolder | -DCHECKS_FENCING=1 -DNO_GUARD_READ_BACK
no-inflight                  | ownership.pml | breaks running | -DCHECKS_FENCING=1 -DNO_GUARD_INFLIGHT
no-inflight-non-checking     | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DNO_GUARD_INFLIGHT
no-unload-outstanding        | ownership.pml | breaks running | -DCHECKS_FENCING=1 -DNO_GUARD_UNLOAD_OUTSTANDING
no-report                    | ownership.pml | breaks running | -DCHECKS_FENCING=1 -DNO_GUARD_REPORT
no-report-token              | ownership.pml | breaks running | -DCHECKS_FENCING=1 -DNO_GUARD_REPORT_TOKEN
no-engine-checks             | ownership.pml | breaks tokenHolder | -DCHECKS_FENCING=1 -DNO_GUARD_ENGINE_CHECKS
no-unique-token              | ownership.pml | breaks tokenHolder | -DCHECKS_FENCING=1 -DNO_GUARD_UNIQUE_TOKEN
no-claim-per-connection      | ownership.pml | breaks running | -DCHECKS_FENCING=1 -DENGINE_RESTARTS=1 -DNO_GUARD_CLAIM_PER_CONNECTION
load-replaces                | ownership.pml | breaks running | -DCHECKS_FENCING=0 -DENGINE_LOAD_REPLACES=1
no-retake                    | ownership.pml | stuck | -DCHECKS_FENCING=1 -DLIVENESS=1 -DNO_GUARD_RETAKE
requests                     | requests.pml | holds |
requests-idempotent          | requests.pml | holds | -DIDEMPOTENT=1
no-no-resend                 | requests.pml | breaks runs | -DNO_GUARD_NO_RESEND
no-unknown-on-timeout        | requests.pml | breaks sends | -DNO_GUARD_UNKNOWN_ON_TIMEOUT
no-all-sends                 | requests.pml | breaks sends | -DIDEMPOTENT=1 -DNO_GUARD_ALL_SENDS
no-answer-check              | requests.pml | breaks finished | -DNO_GUARD_ANSWER_CHECK
no-home-records              | requests.pml | breaks runs | -DNO_GUARD_HOME_RECORDS
no-home-knows                | requests.pml | breaks runs | -DNO_GUARD_HOME_KNOWS
home-trusts-its-view         | requests.pml | breaks runs | -DHOME_TRUSTS_ITS_VIEW
no-next-attempt              | requests.pml | breaks runs | -DNO_GUARD_NEXT_ATTEMPT
caller-repeats-attempt       | requests.pml | breaks runs | -DCALLER_REPEATS_ATTEMPT=1
config                       | config.pml | holds |
config-propagation           | config.pml | holds | -DPROPAGATION=1
config-live                  | config.pml | live  | -DPROPAGATION=1 -DLIVENESS=1
no-cas                       | config.pml | breaks told | -DNO_GUARD_CAS
no-patch-id                  | config.pml | breaks patchOf | -DNO_GUARD_PATCH_ID
no-resolve                   | config.pml | breaks told | -DNO_GUARD_RESOLVE
no-window                    | config.pml | breaks patchOf | -DNO_GUARD_WINDOW
no-monotone                  | config.pml | breaks heard | -DPROPAGATION=1 -DNO_GUARD_MONOTONE
places                       | places.pml | holds |
no-sequence                  | places.pml | breaks heldCount | -DNO_GUARD_SEQUENCE
no-report-first              | places.pml | breaks heldCount | -DNO_GUARD_SEQUENCE -DNO_GUARD_REPORT_FIRST
no-unique-fence              | places.pml | breaks lastHolder | -DNO_GUARD_UNIQUE_FENCE
places-no-tokens             | places.pml | holds | -DSERVER_IGNORES_TOKENS
no-own-clock                 | places.pml | breaks highestFence | -DSERVER_IGNORES_TOKENS -DNO_GUARD_OWN_CLOCK
no-successor-waits           | places.pml | breaks highestFence | -DSERVER_IGNORES_TOKENS -DNO_GUARD_SUCCESSOR_WAITS
no-reading                   | places.pml | breaks highestFence | -DSERVER_IGNORES_TOKENS -DNO_GUARD_READING
stages                       | stages.pml | holds |
stages-repeatable            | stages.pml | holds | -DREPEATABLE=1
stages-guarded-send          | stages.pml | holds | -DNO_GUARD_STAGE
no-stage                     | stages.pml | breaks runs | -DNO_GUARD_STAGE -DNO_GUARD_SEND
no-may-run-from-send         | stages.pml | breaks toldNotRun | -DNO_GUARD_FROM_SEND
TABLE
}

# Builds and runs one case in the current directory and writes the line for it to `result`.
runCase() {
    name=$1 model=$2 verdict=$3 regex=$4
    shift 4
    cp "$modelDir/$model" .
    case $verdict in
    live | stuck) compile="-DNFAIR=3" run="-a -f" ;;
    *) compile="-DSAFETY" run="" ;;
    esac
    # A mutant's search ends early, so there the compiler is what takes time.
    case $verdict in
    holds | live) optimise=-O2 ;;
    *) optimise=-O0 ;;
    esac
    # shellcheck disable=SC2086 # $compile and $run are lists of options
    if ! { spin -a "$@" "$model" && cc $optimise -w -DMEMLIM=$memoryLimitMb $compile -o pan pan.c; } >build.log 2>&1; then
        echo "FAILED $name: does not build: $(head -n 1 build.log)" >result
        return
    fi
    # shellcheck disable=SC2086
    timeout $caseTimeoutS ./pan -m$searchDepth -w22 $run >pan.log 2>&1
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.log)
    found=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' pan.log | head -n 1)

    outcome=wrong
    if grep -q -e 'Search not completed' -e 'out of memory' -e 'max search depth too small' pan.log && [ "$errors" != 1 ]; then
        found="search not completed"
    else
        case $verdict in
        holds | live) [ "$errors" = 0 ] && outcome=right ;;
        breaks) [ "$errors" = 1 ] && echo "$found" | grep -q "assertion violated.*$regex" && outcome=right ;;
        stuck) [ "$errors" = 1 ] && echo "$found" | grep -q "acceptance cycle" && outcome=right ;;
        esac
    fi
    case $outcome in
    right) echo "ok     $name: $verdict, $states states" >result ;;
    *) echo "FAILED $name: expected '$verdict $regex', got errors=${errors:-none} ${found:-} ($states states)" >result ;;
    esac
}

if [ "${1:-}" = --case ]; then
    # One line of the table, from the loop below.
    IFS='|' read -r name model verdict options <<LINE
$2
LINE
    set -f
    # shellcheck disable=SC2086 # split into words on purpose
    set -- $name $model $verdict
    name=$1 model=$2 verdict=$3 regex=${4:-}
    mkdir -p "$name" && cd "$name" || exit 1
    # shellcheck disable=SC2086
    runCase "$name" "$model" "$verdict" "$regex" $options
    exit 0
fi

workDir=$(mktemp -d) || exit 1
if [ -n "${KEEP:-}" ]; then
    echo "working directory: $workDir"
else
    trap 'rm -rf "$workDir"' EXIT
fi
cd "$workDir" || exit 1

cases | grep "^[^|]*${1:-}[^|]*|" >selected
tr '\n' '\0' <selected | xargs -0 -r -n 1 -P "${JOBS:-3}" "$modelDir/check.sh" --case

failed=0
while read -r name _; do
    line=$(cat "$name/result" 2>/dev/null || echo "FAILED $name: no result")
    echo "$line"
    case $line in ok*) ;; *) failed=1 ;; esac
done <selected
[ -s selected ] || { echo "FAILED: no case is named '${1:-}'"; failed=1; }
exit $failed
