#!/bin/sh
# Runs every test program of the build folder and every tests/*.sh.  A test
# that KNOWN-RED.txt names (first word of a line) may fail; it is run and
# printed all the same.  Of a check program only those cases may fail that the
# line names.
# usage: run_tests.sh BUILD_DIR [unit]
# unit: the check programs only.
set -u
b=$1
cd "$(dirname "$0")/.." || exit 2
red=KNOWN-RED.txt
pass=0
fail=0
known=0

# is_known_red NAME LOG: guards against a second case of a program that fails
# unnoticed behind the entry of the first.
is_known_red() {
    entry=$(grep "^$1 " $red 2>/dev/null) || return 1
    cases=$(sed -n 's/^[^:]*:[0-9]*:[FE]:[^:]*:\([^:]*\):.*/\1/p' "$2")
    case $1 in
    test_*) [ -n "$cases" ] || return 1 ;; # it ended without a result
    esac
    for c in $cases; do
        case $entry in
        *" $c "*) ;;
        *) return 1 ;;
        esac
    done
}

run_one() {
    name=$1
    shift
    log=$b/$name.log
    if timeout 600 "$@" >"$log" 2>&1; then
        pass=$((pass + 1))
        echo "ok    $name $(grep -E '^[0-9]+%: Checks' "$log" | tail -1)"
    elif is_known_red "$name" "$log"; then
        known=$((known + 1))
        echo "RED   $name (known, see $red)"
    else
        fail=$((fail + 1))
        echo "FAIL  $name"
        tail -n 40 "$log"
    fi
}

for t in tests/test_*.c; do
    [ -e "$t" ] || continue
    n=$(basename "$t" .c)
    run_one "$n" "$b/$n"
done
for t in tests/*.sh; do
    [ "${2:-}" != unit ] || break
    [ -e "$t" ] || continue
    run_one "$(basename "$t" .sh)" sh "$t" "$b"
done
echo "known red: $known"
echo "$pass passed, $fail failed"
[ "$fail" = 0 ]
