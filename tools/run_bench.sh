#!/bin/sh
# Runs every measurement and prints its rows; fails when a row misses its
# target.
# usage: run_bench.sh BUILD_DIR
set -u
b=$1
cd "$(dirname "$0")/.." || exit 2
rc=0
for t in bench/bench_*.c; do
    [ -e "$t" ] || continue
    n=$(basename "$t" .c)
    echo "== $n"
    "$b/$n" || rc=1
done
for t in bench/bench_*.sh; do
    [ -e "$t" ] || continue
    echo "== $(basename "$t" .sh)"
    sh "$t" "$b" || rc=1
done
exit $rc
