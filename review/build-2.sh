#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs that use the standard library
# only (common-2/estate.py), so nothing is compiled; this checks that they can run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in common-2/estate.py [4-8]/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
