#!/bin/sh
# Makes src/gen/ctl.h and src/gen/ctl_xdr.c from src/gen/ctl.x.
set -eu
cd "$(dirname "$0")/../src/gen"
rm -f ctl.h ctl_xdr.c
rpcgen -h -N -C -o ctl.h ctl.x
rpcgen -c -N -C -o ctl_xdr.c ctl.x
