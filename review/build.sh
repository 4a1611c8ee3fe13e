#!/bin/sh
# Builds the stand-ins of the cases, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] || meson setup target --buildtype=release
ninja -C target wb-standin-estate
