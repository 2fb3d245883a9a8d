#!/bin/sh
# A store that comes back from an older copy and gives out revisions again that
# the VMs have seen, before they reach it.
# usage: platform_store_drill.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-27900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

# give_out N: stores N changes.
give_out() {
    for i in $(seq "$1"); do
        control "/test/key?other/$i" x
    done
}

# away_and_back AWAY_S: the store does not answer, and goes on from its copy.
away_and_back() {
    control '/test/mode?silent'
    sleep "$1"
    control /test/restore
}

log_count() {
    grep -c "$1" "$dir/vm1.log"
}

start_linked_vm
control '/test/backup'
config_before 9
control '/test/key?op/evacuate/east-a' '{}'
give_out 20
sleep 1
check_before before
check drained "$(log_count 'part=zone id=east-a event=drained')" 1
away_and_back 0.3
# The newest version gets a revision that the VM has seen, and the store's
# revision is above that of the VM when it reaches the store.
config_before 9
config_after 12
give_out 30
control '/test/mode?ok'
begin_asking
# The bound of the settings, after which the newest one is in force.
sleep 2.5
ask_changed 4000
print_counts drill 2500 4000
print_store_log
# Guards against a VM that uses a lost configuration for good, as the store's
# revision is not below its own.
check old "$(count old 2500 4000)" 0
check newest "$(count new 2500 4000)" "$(sent 2500 4000)"
check history "$(log_count 'level=warn part=store event=history_begun history=2 before=1')" 1
# Guards against requests to a zone whose drain the store has lost and the
# operator has yet to store again.
check returned "$(log_count 'part=zone id=east-a event=returned')" 0
control '/test/key?op/evacuate/east-a' '{}'
sleep 7.5
check still_drained "$(log_count 'part=zone id=east-a event=returned')" 0
# Guards against a VM whose entry is lost, as its lease is given out again.
check registered "$(curl -s "http://$store/api/kv-range?PathPrefix=vm/" | grep -c '"Key":"vm/vm-1"')" 1

# Guards against a VM that misses the second of two drills.  Items of the
# first one are lost, too.
control '/test/backup'
config_before 20
give_out 20
sleep 1
away_and_back 0.3
give_out 25
control '/test/mode?ok'
sleep 0.4
away_and_back 0.3
config_before 20
config_after 21
give_out 60
control '/test/mode?ok'
begin_asking
sleep 2.5
ask_changed 4000
print_counts second_drill 2500 4000
check second_old "$(count old 2500 4000)" 0
check second_newest "$(count new 2500 4000)" "$(sent 2500 4000)"

# Guards against a VM that gives up what it has for an answer without an era,
# or with an earlier one.
begun=$(log_count 'event=history_begun')
control '/test/era?0'
config_before 30
sleep 2
control '/test/era?1'
config_after 31
sleep 2
begin_asking
ask_changed 50
check no_era "$(count old 0 50)" 3
control '/test/era?4'
begin_asking
sleep 2.5
ask_changed 4000
check era_back "$(count new 2500 4000)" "$(sent 2500 4000)"
check no_history "$(log_count 'event=history_begun')" "$begun"
check missing "$(log_count 'level=warn part=store event=history_ignored reason=missing')" 1
check former "$(log_count 'level=warn part=store event=history_ignored reason=former value="1"')" 1
finish
