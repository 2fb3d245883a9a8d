#!/bin/sh
# Faulty targets that send bytes without end.  The caller must get a final
# response in time, requests of other callers must be served meanwhile, and the
# memory of the VM must stay bounded.
# usage: platform_endless.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-28400}
. tests/lib/platform_lib.sh

# Limit of the peak resident set of the VM, in KB.  Without limits on the bytes
# read from a target, these took 94 MB within the 1.5 s of a request.
max_kb=30000

peak_kb() {
    sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$vm1/status"
}

start_one_vm

# Guards against a VM that buffers these bytes, waits for their end, or passes
# them on as a response.  The request may have run, so the status must not be
# 503, which guarantees that it has not run.
for what in head interim stray other; do
    ask 1 "e$what" "/write/x/endless$what" >"$dir/status" &
    asked=$!
    for i in 1 2 3 4 5; do
        check "neighbour_$what" "$(ask 1 "n$what$i" /write/x/ok)" 200
    done
    wait $asked
    case $(cat "$dir/status") in
    502 | 504) ;;
    *) check "$what" "$(cat "$dir/status")" "502 or 504" ;;
    esac
    check "runs_$what" "$(runs "e$what")" 1
done

# Guards against passing on the bytes that follow a complete response, and
# against reusing the upstream connection on which they arrive.
check after "$(ask 1 eafter /write/x/endlessafter)" 200
for i in 1 2 3 4; do
    check "next_$i" "$(ask 1 "next$i" /write/x/ok) $(cat "$dir/body")" \
        "200 done next$i"
done

# Guards against a response body without end that is forwarded beyond the
# timeout of the route (1500 ms); curl exits with 18 for a truncated body.
begin=$(date +%s%N)
check own "$(ask 1 eown /write/x/endlessown)" "200 rc=18"
took_ms=$((($(date +%s%N) - begin) / 1000000))
[ "$took_ms" -lt 2500 ] || check own_took "$took_ms ms" "under 2500 ms"

peak=$(peak_kb)
[ "$peak" -lt $max_kb ] || check memory "$peak KB" "under $max_kb KB"
finish
