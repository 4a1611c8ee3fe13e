#!/bin/sh
# Writes docs/SETTINGS.md and docs/METRICS.md from the tables in the programs. Usage: scripts/settings.sh BUILD
set -eu
cd "$(dirname "$0")/.."
{
    echo "# Settings"
    echo
    echo "Made by scripts/settings.sh from the tables that check the settings. A setting is given as a flag"
    echo "(\`--name=value\`) or in a key file (\`--settings=FILE\`, group by the program's name); flags win. A wrong"
    echo "value stops the start with one line and exit code 2."
    echo
    for program in wickbridged wickbridge-edge wickload wb-standin-platform wb-standin-engine; do
        "$1/$program" --document-settings
    done
} >docs/SETTINGS.md
"$1/wb-document-metrics" >docs/METRICS.md
