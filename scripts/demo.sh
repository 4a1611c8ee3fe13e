#!/bin/sh
# Runs the demo against real processes. Usage: scripts/demo.sh BUILD
set -eu
WICKBRIDGE_BUILD=$1 exec "$1/wb-demo"
