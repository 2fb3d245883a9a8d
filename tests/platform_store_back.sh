#!/bin/sh
# A store that comes back from an older copy while the VM runs.
# usage: platform_store_back.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-26600}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

start_linked_vm
config_before 9
sleep 2
check_before before
control '/test/back?2'
sleep 2
config_after 4
begin_asking
sleep 2.5
ask_changed 4000
print_counts back 2500 4000
# Guards against a VM that goes back to an older version with its store.
check reverted "$(count new 2500 4000)" 0
check kept "$(count old 2500 4000)" "$(sent 2500 4000)"
check warned "$(grep -c 'level=warn part=store event=revision_back' "$dir/vm1.log")" 1
check version "$(grep -c 'level=warn part=config event=version_back version=4' "$dir/vm1.log")" 1

config_before 9
config_after 12
begin_asking
sleep 2.5
ask_changed 4000
print_counts after 2500 4000
print_store_log
# Guards against a VM that uses for good what the store has lost, as the
# revision of what follows is below its own.
check old "$(count old 2500 4000)" 0
check newest "$(count new 2500 4000)" "$(sent 2500 4000)"
finish
