#!/usr/bin/env bash
# Compares open-loop load through seven instances with calling the endpoints directly, in one run.
# Usage: bench/load.sh RATE SECONDS [options of bench_load]
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/processes.sh
rate=$1 seconds=$2
shift 2
start_group 7 4
"$build/bench/bench_load" --rate "$rate" --seconds "$seconds" "$@" \
    $(printf -- '--target %s ' "${callers[@]}") $(printf -- '--direct %s ' "${engines[@]}") $(printf -- '--pid %s ' "${pids[@]}")
curl -s "http://127.0.0.1:$platform/control"; echo
