#!/bin/sh
# Checks that docs/operators/alarms.md names every counter and every log line
# at warning or above.  A log line is known by its text up to the first "%".
# With --list it prints them.
set -u
cd "$(dirname "$0")/.." || exit 2
page=docs/operators/alarms.md

counters() {
    grep -ohE '"(entry|control|lookup|ctlc|store|http)_[a-z0-9_]+"' src/*.c |
        tr -d '"' | sort -u | while read -r name; do
        case $name in
        *_total | *_bytes | *_calls | *_changes | *_offers | *_frames) ;;
        *) grep -qE "(ctr_get|control_ctr|gauge)\([^\"]*\"$name\"" src/*.c ||
            continue ;;
        esac
        echo "$name"
    done
}

# Prints the first text literal after the part's name of each call.
warnings() {
    awk '
    /lg_line\(LG_(WARN|ERROR)/ { open = 1; call = "" }
    open { call = call $0 }
    open && /;[ \t]*$/ {
        open = 0
        sub(/.*lg_line\(LG_(WARN|ERROR),[ \t]*("[a-z]*"|[A-Z_a-z]+),[ \t]*/,
            "", call)
        if (match(call, /^"[^"]*"/)) {
            text = substr(call, 2, RLENGTH - 2)
            sub(/[%\\].*/, "", text)
            sub(/[ :]+$/, "", text)
            if (text != "") print text
        }
    }' src/*.c | sort -u
}

if [ "${1:-}" = --list ]; then
    counters
    warnings
    exit 0
fi
rc=0
for c in $(counters); do
    grep -q "$c" $page || { echo "$page: counter $c is missing"; rc=1; }
done
warnings >/tmp/mimosa-warn.$$
while read -r w; do
    grep -qF "$w" $page || { echo "$page: log line \"$w\" is missing"; rc=1; }
done </tmp/mimosa-warn.$$
rm -f /tmp/mimosa-warn.$$
[ $rc = 0 ] && echo "docs: all counters and warnings are described"
exit $rc
