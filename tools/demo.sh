#!/bin/sh
# Starts two zones on loopback with stand-ins, applies examples/demo.ini, sends
# requests of three ranks and prints what became of them.
# usage: demo.sh BUILD_DIR
# Exit code 0: no request ended unknown or wrong, none was cut off, and the
# manifest was in force everywhere in time.
set -u
cd "$(dirname "$0")/.." || exit 2
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
trap fleet_stop EXIT
trap 'exit 1' HUP INT PIPE TERM
echo "== start: store, 8 upstreams, 4 entry VMs in 2 zones"
fleet_start "$1" "${DEMO_PORT:-24500}"
echo "== apply examples/demo.ini"
fleet_ctl apply "$fleet_dir/manifest.ini" --wait 20 || exit 1
fleet_ready || exit 1
echo "== change a slot count: time from apply to in force everywhere"
sed 's/warmup_ms = 1000/warmup_ms = 1500/' "$fleet_dir/manifest.ini" \
    >"$fleet_dir/second.ini"
t0=$(date +%s%3N)
fleet_ctl apply "$fleet_dir/second.ini" --wait 20 || exit 1
echo "apply to in force everywhere: $(($(date +%s%3N) - t0)) ms"
echo "== requests of three ranks for ${DEMO_SECONDS:-8} s"
flows=
for z in 1 2; do
    c=127.0.$z.1
    flows="$flows
        --flow service=desk,rank=urgent,rate=60,path=/rents,client=$c,answer=2000
        --flow service=desk,rank=standard,rate=40,path=/rents,client=$c,body=500
        --flow service=desk,rank=bulk,rate=30,path=/rents,client=$c,answer=20000
        --flow service=desk,rank=urgent,rate=10,path=/filings,class=once,client=$c,body=300
        --flow service=post,rank=urgent,rate=15,path=/charges,class=once,client=$c,body=200
        --flow service=post,rank=standard,rate=10,path=/charges,class=once,client=$c,body=200
        --flow service=post,rank=bulk,rate=5,path=/charges,class=once,client=$c,body=200"
done
# shellcheck disable=SC2086
"$1/mimosa-load" --lookup "$(fleet_list lookup)" --upstreams "$fleet_ups" \
    --seconds "${DEMO_SECONDS:-8}" --seed "${SEED:-1}" $flows \
    --expect unknown=0 --expect wrong=0 --expect cut=0 --expect twice=0 \
    --expect ran=0 --expect "answered_pct>=99"
rc=$?
echo "== stop"
fleet_stop
[ $rc = 0 ] && echo "demo: ok" || echo "demo: failed"
exit $rc
