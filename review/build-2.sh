#!/bin/sh
# Builds the stand-ins of the cases of the second review into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
# shellcheck disable=SC2046
cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -o build/review-2/drill \
    review/standin2/drill.c review/standin2/fleet.c review/standin2/plat.c \
    $(pkg-config --cflags --libs glib-2.0) -lpthread
