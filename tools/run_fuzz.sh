#!/bin/sh
# Builds the libFuzzer targets of fuzz/ and runs each over its fixed corpus
# and a fixed number of mutated inputs.
set -eu
cd "$(dirname "$0")/.."
pk=$(pkg-config --cflags --libs glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 \
    libtirpc log4c json-glib-1.0 libxxhash libzstd)
mods=$(find src platform -name '*.c' ! -name '*_main.c')
flags="-std=gnu11 -D_GNU_SOURCE -g -O1 -fsanitize=fuzzer-no-link,address,undefined
    -iquote src -iquote src/gen -iquote platform -w $pk"
mkdir -p build/fuzz
# The modules are compiled once for all targets.
# shellcheck disable=SC2086
echo $mods | tr ' ' '\n' | xargs -P 6 -n 1 sh -c '
    flags=$0
    clang $flags -c "$1" -o "build/fuzz/$(basename "$1" .c).o"' "$flags"
objs=$(for m in $mods; do echo "build/fuzz/$(basename "$m" .c).o"; done)
for f in fuzz/fuzz_*.c; do
    [ -e "$f" ] || continue
    n=$(basename "$f" .c)
    # shellcheck disable=SC2086
    clang $flags -fsanitize=fuzzer "$f" $objs -lhttp_parser -lm \
        -o "build/fuzz/$n"
    # New inputs go to a folder of the build, so that the corpus stays fixed.
    rm -rf "build/fuzz/$n.new"
    mkdir -p "build/fuzz/$n.new"
    "build/fuzz/$n" -seed=1 -runs="${RUNS:-20000}" -max_len=16384 \
        -print_final_stats=0 -verbosity=0 "build/fuzz/$n.new" "fuzz/corpus/${n#fuzz_}"
    echo "fuzz: $n ok"
done
