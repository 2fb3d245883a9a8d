#!/bin/sh
# Makes a deployment with uneven regions from a site file of the users: moves
# upstreams of each service from one zone to another.
# usage: uneven.sh SITE FROM_ZONE TO_ZONE COUNT >NEW_SITE
set -eu
[ $# = 4 ] || {
    sed -n '2,4s/^# //p' "$0" >&2
    exit 2
}
awk -v from="$2" -v to="$3" -v n="$4" '
    function moved(line, zone, by,    at, count) {
        at = index(line, "{ zone = \"" zone "\", count = ")
        if (!at) return line
        at += length("{ zone = \"" zone "\", count = ")
        match(substr(line, at), /^[0-9]+/)
        count = substr(line, at, RLENGTH) + by
        if (count < 0) count = 0
        return substr(line, 1, at - 1) count substr(line, at + RLENGTH)
    }
    /servers = \[/ { $0 = moved(moved($0, from, -n), to, n) }
    { print }' "$1"
