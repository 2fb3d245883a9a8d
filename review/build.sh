#!/bin/sh
# Builds every stand-in that the scripts under review/ start, beside the
# program that the deploy file builds.  Run in the repository's root.
set -e
make -j8 B=target target/mimosa-edge target/standin-platform
