#!/bin/sh
# A target that leaves while a large configuration is stored.
# usage: platform_large_gossip.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-23300}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

start_one_vm
"$b/standin-peer" --listen "127.0.0.1:$((port + 304))" >"$dir/peer" &
pids="$pids $!"
control "/test/key?vm/vm-3" "entry=127.0.0.1:$((port + 301)) peer=127.0.0.1:$((port + 304)) zone=west-a leaving=0 boot=1"
sleep 1
for i in 1 2 3 4 5 6; do
    config $((3 + i)) "$(routes 700 $i)"
    report u-2 draining
    sleep 0.4
    report u-2 ready
    sleep 0.4
done
sleep 1

# Guards against the news of a target that is lost with one of the fragments in
# which a configuration is sent: the news comes first, in a datagram of its own.
awk '
    / fragments=1 .*servers\/u-2/ {
        n++
        if (!(($2, "news") in seen)) alone++
    }
    / fragments=0 .*servers\/u-2/ { seen[$2, "news"] = 1 }
    END { print n + 0, alone + 0 }' "$dir/peer" >"$dir/counts"
read -r together in_fragments_only <"$dir/counts"
[ "$together" -gt 0 ] || check large_messages "$together" "over 0"
check news_in_fragments_only "$in_fragments_only" 0
finish
