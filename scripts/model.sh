#!/bin/sh
# Checks model/takeover.pml with spin and prints the states explored.
set -eu
cd "$(dirname "$0")/.."
model=$(pwd)/model/takeover.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin -a "$model" >/dev/null
gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c
./pan -m1000000 >pan.out 2>&1 || true
grep -E 'errors:|states, stored|transitions|max search depth|out of memory' pan.out
grep -q 'errors: 0' pan.out
! grep -q -E 'max search depth too small|out of memory|memory limit' pan.out
