#!/bin/sh
# Runs the linter over the project's own code. Usage: scripts/lint.sh BUILD
set -eu
cd "$(dirname "$0")/.."
# A request's way knows nothing of the node's life: the arrow between the two folders goes one way.
if grep -n '#include "edge/' src/request/*; then
    echo "src/request must not include src/edge" >&2
    exit 1
fi
cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,performance,portability \
    --inline-suppr --library=gtk --library=posix --suppress=missingIncludeSystem --suppress=unknownMacro \
    --suppress=checkersReport --suppress=normalCheckLevelMaxBranches \
    -D__GNUC__ -j "$(nproc)" -I include -I src src standins tests 2>&1 |
    grep -v '^$' >&2 && exit 1
exit 0
