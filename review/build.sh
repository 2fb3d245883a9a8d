#!/bin/sh
# Builds every stand-in that the scripts under review/ start, beside the
# program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
make -j8 B=target target/mimosa-edge target/standin-platform
