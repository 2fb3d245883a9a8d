#!/bin/sh
# Checks format and lint of every C file but the generated ones, and the
# shell scripts.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.c' '*.h' |
    grep -v '^src/gen/')
cfiles=$(echo "$files" | grep '\.c$')
echo "lint: clang-format"
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
flags="-std=gnu11 -D_GNU_SOURCE -iquote src -iquote src/gen -iquote tests -iquote bench
    -iquote standins -iquote platform
    $(pkg-config --cflags glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 libtirpc \
    log4c json-glib-1.0 libxxhash libzstd check)"
echo "lint: JSON readers"
# The parser of json-glib is recursive; jsontext checks the depth before it.
# shellcheck disable=SC2086
if grep -nE 'json_parser_load|json_from_string' $files |
    grep -v '^src/jsontext\.c:'; then
    echo "lint: found a reader of JSON that skips jsontext; use jsontext_object()"
    exit 1
fi
echo "lint: clang-tidy"
# Eight at a time: the machines have ten cores.
# shellcheck disable=SC2086
echo "$cfiles" | grep -v '^tests/' | xargs -P 8 -n 2 sh -c '
    flags=$0
    clang-tidy --quiet "$@" -- $flags 2>/dev/null || exit 255' "$flags"
echo "lint: cppcheck"
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --inline-suppr -j 8 --std=c11 \
    --enable=warning,portability --suppress=missingIncludeSystem \
    --suppress=unknownMacro -Isrc -Isrc/gen $cfiles
echo "lint: shellcheck"
git ls-files --cached --others --exclude-standard '*.sh' .ci/run |
    xargs shellcheck -S warning
echo "lint: ok"
