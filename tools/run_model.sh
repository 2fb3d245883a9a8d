#!/bin/sh
# Checks every specification of spec/ with spin.
#   spec/NAME.pml   holds; each "/* BROKEN name */" line names a variant
#                   built with -DBROKEN_name that spin must reject.
# usage: run_model.sh BUILD_DIR
set -u
b=$(mkdir -p "$1/model" && cd "$1/model" && pwd)
cd "$(dirname "$0")/../spec" || exit 2
rc=0

# check NAME VARIANT: prints spin's count of errors and of states.
check() {
    d=$b/$1$2
    mkdir -p "$d"
    flag=
    [ -z "$2" ] || flag=-DBROKEN_$2
    (cd "$d" && cp "$OLDPWD/$1.pml" . && spin -a $flag "$1.pml" >spin.log 2>&1 &&
        cc -O2 -DMEMLIM=4096 -DSAFETY -DVECTORSZ=4096 -DCOLLAPSE -o pan pan.c 2>cc.log &&
        ./pan -m200000 >pan.log 2>&1)
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$d/pan.log" 2>/dev/null
    sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$d/pan.log" 2>/dev/null
    grep -q 'search depth too small\|max search depth\|out of memory' "$d/pan.log" 2>/dev/null && echo truncated
}

for f in *.pml; do
    [ -e "$f" ] || continue
    n=${f%.pml}
    out=$(check "$n" "" | tr '\n' ' ')
    case $out in
    *truncated*) echo "FAIL $n: search was cut short: $out"; rc=1 ;;
    "0 "*) echo "ok   $n holds: errors, states: $out" ;;
    *) echo "FAIL $n: errors, states: $out"; rc=1 ;;
    esac
    for v in $(sed -n 's/.*BROKEN \([a-z_]*\) .*/\1/p' "$f"); do
        out=$(check "$n" "$v" | tr '\n' ' ')
        case $out in
        "0 "* | "") echo "FAIL $n: broken variant $v was not rejected: $out"; rc=1 ;;
        *) echo "ok   $n rejects $v" ;;
        esac
    done
done
exit $rc
