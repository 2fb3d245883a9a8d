#!/bin/sh
# shellcheck disable=SC2034,SC2154
# A VM whose only source of changes is the gossip of standin-peer, and a target
# that leaves.  Sourced after platform_lib.sh.

# report ID STATE: writes the entry of a target.
report() {
    control "/test/key?servers/$1" "{\"Service\":\"desk\",\"Addr\":\"127.0.0.1:$((port + 50 + ${1#u-}))\",\"Zone\":\"west-a\",\"Slots\":4,\"State\":\"$2\",\"ColdLeft\":\"0ms\",\"Seq\":9,\"born\":1}"
}

# list_vm9: writes the entry of vm-9.
list_vm9() {
    control "/test/key?vm/vm-9" "entry=127.0.0.1:$((port + 901)) peer=127.0.0.1:$((port + 904)) zone=west-a leaving=0 boot=1"
    sleep 1
}

# confirm REV [AGE_MS]: tells VM 1 that nothing has changed since that revision,
# by an answer of the store that is so old, in the name of vm-9 (list_vm9).
confirm() {
    "$b/standin-peer" --to "127.0.0.1:$((port + 104))" vm-9 1 "$1" "${2:-0}" ||
        fails=$((fails + 1))
}

revision() {
    curl -s "http://$store/api/kv-range?PathPrefix=op/" |
        sed 's/.*"CurrentRev":\([0-9]*\).*/\1/'
}

# defer_watches: sends gossip until VM 1 no longer watches the store itself.
# Sets rev to the current revision.
defer_watches() {
    list_vm9
    rev=$(revision)
    for _ in $(seq 25); do
        confirm "$rev"
        sleep 0.1
    done
}

# ask_keys PREFIX: sends a request for each of 12 keys, which both targets
# share, at the same time.  Sets asked to the processes.
ask_keys() {
    asked=
    for k in 1 2 3 4 5 6 7 8 9 10 11 12; do
        curl -s -o /dev/null -w '%{http_code}\n' -H "Host: desk.example" \
            -H "X-Mimosascale-Attempt-Id: $1$k" \
            -H "X-Mimosascale-Affinity-Key: k$k" \
            -H "X-Mimosascale-Deadline-Ms: 3000" \
            "http://127.0.0.1:$((port + 101))/write/x/ok" >"$dir/$1$k" &
        asked="$asked $!"
    done
}

arrived() {
    curl -s "http://$store/test/arrived?$1"
}
