#!/bin/sh
# A VM process that starts and has read only a part of the store's lists.
# usage: platform_start.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-30400}
. tests/lib/platform_lib.sh

start_platform
config 3
settings 1 west-a
sleep 1
control '/test/mode?partial'
start_vm 1
for _ in $(seq 50); do
    grep -q 'event=in_force' "$dir/vm1.log" && break
    sleep 0.1
done
check config_read "$(grep -c 'event=in_force' "$dir/vm1.log")" 1

# Guards against callers that are turned away until the last page of the list
# is read, which takes seconds after all VMs have started at once.
check unconfirmed "$(ask 1 a1 /write/x/ok) $(runs a1)" "200 1"

# Guards against a 404 by a configuration that may have been replaced, and
# against a VM that is named ready before the store has confirmed its view.
check unconfirmed_route "$(ask 1 a2 /none/x/ok)" 503
check unconfirmed_retry "$(grep -ci '^retry-after: 0\.' "$dir/head")" 1
check unconfirmed_ready "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 102))/api/readyz")" 503
control '/test/mode?ok'
wait_for "http://127.0.0.1:$((port + 102))/api/readyz" 200
check confirmed "$(ask 1 a3 /write/x/ok) $(runs a3)" "200 1"
check confirmed_route "$(ask 1 a4 /none/x/ok)" 404
finish
