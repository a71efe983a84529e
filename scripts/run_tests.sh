#!/usr/bin/env bash
# Runs every test. Prints the tests listed in KNOWN-RED.txt and ignores their failures; any other failure fails the
# run.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -E '^[a-z]' KNOWN-RED.txt 2>/dev/null | cut -d, -f1 || true)
exclude=()
if [ -n "$red" ]; then
    echo "known failures that do not fail the run (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
    exclude=(-E "^($(paste -sd'|' <<<"$red"))\$")
    for it in $red; do
        ctest --preset release -R "^$it\$" || true
    done
fi
ctest --preset release "${exclude[@]}"
