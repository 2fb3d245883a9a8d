#!/bin/sh
# Targets whose answers are malformed, or unusual but well-formed: the caller
# of a malformed one gets 502 and nothing of it, the others arrive.
# usage: platform_answers.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-21400}
. tests/lib/platform_lib.sh

# Guards against a malformed answer that is passed on, or is taken for a
# refusal: the request may have run, so its status must not be 503, and one that
# is not idempotent must not be sent again.
check_malformed() {
    id="w$1"
    check "$1" "$(ask 1 "$id" "/write/x/answer$1") $(runs "$id")" "502 1"
    check "$1 lines" "$(grep -aci '^X\|seal' "$dir/head")" 0
    check "$1 body" "$(cat "$dir/body")" upstream_failed
    # The second attempt may be refused by the retry budget.
    id="r$1"
    status=$(ask 1 "$id" "/read/x/answer$1")
    case $(runs "$id") in
    1 | 2) check "$1 idempotent" "$status" 502 ;;
    *) check "$1 runs" "$(runs "$id")" "1 or 2" ;;
    esac
    # The response to HEAD ends before the chunks.
    case $1 in
    chunk* | extension* | last* | trailer*) head=200 ;;
    *) head=502 ;;
    esac
    check "$1 HEAD" "$(ask 1 "h$1" "/write/x/answer$1" -I)" $head
    [ $head = 200 ] ||
        check "$1 HEAD lines" "$(grep -aci '^X\|seal' "$dir/head")" 0
}

# check_unusual NAME STATUS BODY: guards against refusing well-formed answers.
check_unusual() {
    : >"$dir/body" # curl does not write an empty one
    check "$1" "$(ask 1 "w$1" "/write/x/answer$1") $(cat "$dir/body")" "$2 $3"
    check "$1 seal" "$(grep -ci "seal-w$1" "$dir/head")" 1
    check "$1 runs" "$(runs "w$1")" 1
}

n_targets=12
start_one_vm
n=0
malformed=0
while read -r name status body <<LINE &&
$(curl -s "http://$store/test/answer?$n")
LINE
    [ -n "$name" ]; do
    n=$((n + 1))
    if [ "$status" = 0 ]; then
        malformed=$((malformed + 1))
        check_malformed "$name"
    else
        check_unusual "$name" "$status" "$body"
    fi
    # Guards against what is left of an answer on a connection that is used
    # again; and a target that sends nothing else is used no longer.
    for i in 1 2; do
        check "next_$name" "$(ask 1 "n$i$name" /write/x/ok) $(cat "$dir/body")" \
            "200 done n$i$name"
    done
done
echo "answers: $malformed malformed of $n"
# Guards against a failure whose reason no line tells.  There is a line for each
# second and upstream.
grep -q 'event=malformed_response .*error="status line' "$dir/vm1.log" ||
    check logged no yes
[ "$malformed" -gt 0 ] || check answers "$malformed" "over 0"
finish
