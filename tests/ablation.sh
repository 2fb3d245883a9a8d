#!/bin/sh
# Guards against ablation patches that no longer apply, whose table could not
# be measured again.
set -eu
cd "$(dirname "$0")/.."
sh bench/ablation.sh --check
