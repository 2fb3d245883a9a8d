#!/bin/sh
# A VM that starts with a link to the store that carries 60 kB per second.
# usage: platform_slow_start.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-27900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

filler=$(routes 350 more)
start_platform
config_before 3
start_link --rate 60000
settings 1 west-a "$link_addr"
start_vm 1
begin_asking
ready=0
while [ $ready = 0 ] && [ $(($(now_ms) - t0)) -lt 20000 ]; do
    sleep 0.1
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 102))/api/readyz")" = 200 ] && ready=1
done
echo "ready=$ready after_ms=$(($(now_ms) - t0))"

# Guards against a VM that never gets ready because its list of the store ends
# at a time limit that does not depend on the size of the answer.
check ready_within_20_s $ready 1
check_before served
finish
