#!/bin/sh
# Installs the Debian packages of tools/packages.txt that are missing.
set -eu
missing=
while read -r p; do
    dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
        grep -q 'ok installed' || missing="$missing $p"
done <"$(dirname "$0")/packages.txt"
[ -n "$missing" ] || exit 0
echo "deps: installing$missing"
if [ "$(id -u)" != 0 ]; then
    echo "deps: run as root: apt-get install -y$missing" >&2
    exit 2
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
