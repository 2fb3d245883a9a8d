#!/bin/sh
# Gossip of a VM that the store does not list, and of an earlier start.
# usage: platform_foreign_gossip.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-27300}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

metric() {
    curl -s "http://127.0.0.1:$((port + 105))/metrics" | sed -n "s/^$1 //p"
}

start_one_vm
list_vm9
# Each says that nothing has changed up to a revision above that of the store.
"$b/standin-peer" --to "127.0.0.1:$((port + 104))" vm-8 1 0 0 1000000
sleep 1.1
"$b/standin-peer" --to "127.0.0.1:$((port + 104))" vm-9 7 0 0 1000000
sleep 0.2
config 4 "$(routes 1 new)"
sleep 2.5

# Guards against a VM that takes a position from another deployment or an
# earlier run at the same address, and then sees no change of the store.
check new_route "$(ask 1 n /more/new/1/x/ok)" 200
check ignored "$(metric edge_gossip_ignored_total)" 2
check lines "$(sed -n 's/.* part=peer event=gossip_ignored reason=\([^ ]*\) from=\([^ ]*\) .*/\1 \2/p' "$dir/vm1.log" | tr '\n' ' ')" "not_listed - other_start vm-9 "
check asks "$(metric edge_heard_asks_total)" 0
finish
