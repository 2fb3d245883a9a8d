#!/bin/sh
# Measures what single mechanisms are worth: plays days without each of them.
# usage: ablation.sh --check
#        ablation.sh BENCH SITE "DAYS" "SEEDS" [PATCH...]
# --check: tells whether all patches of bench/ablation/ apply.
# BENCH: the users' bench program; SITE: a site file; PATCH: names without
# ".patch", all by default.  Days are played without charging processor time.
# Each row has the worth of each day, a "!" where a rule broke, and the mean.
set -eu
cd "$(dirname "$0")/.."
patches=$PWD/bench/ablation

if [ "${1:-}" = --check ]; then
    for p in "$patches"/*.patch; do
        git apply --check "$p" || exit 1
    done
    echo "ablation: all patches apply"
    exit 0
fi
if [ $# -lt 4 ]; then
    sed -n '2,10s/^# //p' "$0" >&2
    exit 2
fi
bench=$(realpath "$1")
site=$(realpath "$2")
days=$3
seeds=$4
shift 4
if [ $# = 0 ]; then
    for p in "$patches"/*.patch; do
        set -- "$@" "$(basename "$p" .patch)"
    done
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# play NAME: plays the days on the scratch copy and prints a row.
play() {
    for seed in $seeds; do
        for day in $days; do
            if [ "$seed" = base ]; then
                "$bench" run "$site" "$day" --no-cpu --why "ablation: $1"
            else
                "$bench" run "$site" "$day" --no-cpu --seed "$seed" \
                    --why "ablation: $1"
            fi 2>&1 | awk -v day="$day" '
                /^worth [-0-9]/ && !w { w = $2 }
                /^rules broken/ { b = "!" }
                END { print (w == "" ? "none" : w) b }'
        done
    done | awk -v name="$1" '
        { row = row " " $1; sum += $1; n++ }
        END { printf "%-18s mean %.3f %s\n", name, sum / n, row }'
}

for name in none "$@"; do
    rm -rf "$scratch/tree"
    git clone -q . "$scratch/tree"
    cd "$scratch/tree"
    [ "$name" = none ] || git apply "$patches/$name.patch"
    play "$name"
    cd - >/dev/null
done
