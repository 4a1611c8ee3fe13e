#!/bin/sh
# Plays fresh seeds of the soak, then each seed that ever failed. Usage: scripts/soak.sh BUILD COUNT
set -eu
cd "$(dirname "$0")/.."
WICKBRIDGE_BUILD=$(cd "$1" && pwd)
export WICKBRIDGE_BUILD
failed=0
"$1/wb-soak" --count "$2" || failed=1
seeds=$(sed -n 's/^\([0-9][0-9]*\),.*/\1/p' tests/soak/seeds.txt | paste -sd, -)
if [ -n "$seeds" ]; then
    "$1/wb-soak" --seeds "$seeds" || failed=1
fi
exit $failed
