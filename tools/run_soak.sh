#!/bin/sh
# Plays soak_edge with COUNT seeds from FIRST on, three at a time, and prints
# counts.  Keeps the output and the logs of the processes of each seed that
# fails in LOG_DIR/seed-N.
# usage: run_soak.sh BUILD_DIR LOG_DIR FIRST COUNT [STEPS [OPTION...]]
set -u
if [ $# -lt 4 ]; then
    sed -n '5s/^# //p' "$0" >&2
    exit 2
fi
SOAK=$1/soak_edge
DIR=$2
first=$3
last=$(($3 + $4 - 1))
STEPS=${5:-150000}
shift 4
[ $# = 0 ] || shift
export SOAK DIR STEPS
mkdir -p "$DIR" || exit 2
run=$DIR/run-$first-$last.txt
: >"$run" || exit 2

# Ports depend on the seed modulo 20, so that seeds at a distance of 20 must
# not run together: the limit of time ends a run before that happens.
# shellcheck disable=SC2016
seq "$first" "$last" | xargs -P 3 -I'{}' sh -c '
    seed=$1
    shift
    out=$DIR/seed-$seed
    mkdir -p "$out"
    TMPDIR=$out timeout 180 "$SOAK" --seed "$seed" --steps "$STEPS" "$@" \
        >"$out/soak.log" 2>&1
    rc=$?
    tail -n 1 "$out/soak.log"
    if [ $rc = 0 ]; then
        rm -r "$out"
    else
        echo "seed $seed failed, status $rc, logs in $out"
        sed "s/^/  /" "$out/soak.log"
    fi' sh '{}' "$@" | tee "$run"

fails=$(grep -c '^seed [0-9]* failed' "$run")
echo "run_soak: $(grep -c '^soak_edge: seed' "$run") seeds reported," \
    "$fails failed"
awk '/^soak_edge: seed/ {
    for (i = 1; i < NF; i++) {
        if ($(i + 1) ~ /^requests/) requests += $i
        if ($(i + 1) == "undisturbed") stops += $i
        if ($(i + 1) == "crossed") crossed += $i
    }
}
/^  soak_edge: [a-z_]* violated/ { kinds[$2]++ }
END {
    printf "run_soak: %d requests, %d undisturbed stops, %d crossed closes\n",
        requests, stops, crossed
    for (k in kinds) printf "run_soak: %s %d\n", k, kinds[k]
}' "$run"
[ "$fails" = 0 ]
