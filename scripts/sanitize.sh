#!/bin/sh
# Builds with sanitizers and runs the tests that suit them. Usage: scripts/sanitize.sh address|thread
set -eu
cd "$(dirname "$0")/.."
kind=$1
build=build-$kind
sanitizers=$kind
[ "$kind" = address ] && sanitizers=address,undefined
arguments=""
[ "$kind" = thread ] && arguments="-include$(pwd)/tests/sanitizer/glib_locks.h $(pkg-config --cflags glib-2.0)"
[ -f "$build/build.ninja" ] ||
    meson setup "$build" -Db_sanitize="$sanitizers" -Db_lundef=false -Dc_args="$arguments" >/dev/null
ninja -C "$build" >/dev/null
WICKBRIDGE_BUILD=$(cd "$build" && pwd)
export WICKBRIDGE_BUILD WICKBRIDGE_KEEP_LOGS=1 G_SLICE=always-malloc
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=print_stacktrace=1 TSAN_OPTIONS=second_deadlock_stack=1
work=$(mktemp -d)
export TMPDIR="$work"
failed=0
for program in "$build"/unit-*; do
    [ -f "$program" ] || continue
    "$program" >"$work/unit.out" 2>&1 || { failed=1; tail -n 40 "$work/unit.out"; }
done
for test in ${2:-/path /refusals/bad-input /replicas /once/retry /once/node /streams /stops/rolling /config/racing /outages/zone /tls}; do
    area=$(echo "$test" | cut -d/ -f2)
    timeout 300 "$build/integration-$area" -p "$test" >"$work/test.out" 2>&1 ||
        { failed=1; echo "FAILED $test"; tail -n 12 "$work/test.out"; }
done
# What the processes themselves reported.
reports=$(grep -l -E 'ERROR: AddressSanitizer|runtime error:|WARNING: ThreadSanitizer' -r "$work" || true)
if [ -n "$reports" ]; then
    failed=1
    echo "$reports" | head -n 20
    grep -h -E -A 14 'ERROR: AddressSanitizer|runtime error:|WARNING: ThreadSanitizer' -r "$work" | head -n "${REPORT_LINES:-80}"
fi
rm -rf "$work"
[ "$failed" = 0 ] && echo "no report of the $kind sanitizer"
exit "$failed"
