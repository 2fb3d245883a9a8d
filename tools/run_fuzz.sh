#!/bin/sh
# Builds the libFuzzer targets of fuzz/ and runs each over its fixed corpus
# and a fixed number of mutated inputs.
set -eu
cd "$(dirname "$0")/.."
pk=$(pkg-config --cflags --libs glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 \
    libtirpc log4c json-glib-1.0 libxxhash libzstd)
mods=$(find src platform -name '*.c' ! -name '*_main.c')
mkdir -p build/fuzz
for f in fuzz/fuzz_*.c; do
    [ -e "$f" ] || continue
    n=$(basename "$f" .c)
    # shellcheck disable=SC2086
    clang -std=gnu11 -D_GNU_SOURCE -g -O1 -fsanitize=fuzzer,address,undefined -iquote src \
        -iquote src/gen -iquote platform -w "$f" $mods $pk -lhttp_parser -lm -o "build/fuzz/$n"
    # New inputs go to a folder of the build, so that the corpus stays fixed.
    rm -rf "build/fuzz/$n.new"
    mkdir -p "build/fuzz/$n.new"
    "build/fuzz/$n" -seed=1 -runs="${RUNS:-20000}" -max_len=16384 \
        -print_final_stats=0 -verbosity=0 "build/fuzz/$n.new" "fuzz/corpus/${n#fuzz_}"
    echo "fuzz: $n ok"
done
