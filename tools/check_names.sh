#!/bin/sh
# Checks that the platform's names stand in platform/, deploy/ and the tests
# of the platform's path only.
set -u
cd "$(dirname "$0")/.." || exit 2
names='X-Mimosascale|/api/kv|/api/re|op/config|op/evacuate|servers/'
names="$names|PathPrefix|MaxAttempts|HomeRegions|ColdPerS|ColdLeft|Ttl_time"
names="$names|CurrentRev|WaitMs|Vhosts|MIMOSASCALE_NODE_FILE"
if grep -rnE "$names" src/*.c src/*.h tools/*.sh bench |
    grep -v '^tools/check_names.sh'; then
    echo "names: the lines above belong into platform/"
    exit 1
fi
echo "names: the platform's names stand in platform/ only"
