#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins/world.cpp -o "$out/world.o"
for it in cut_answer late_bytes grey_worker; do
    g++ "${flags[@]}" "review/standins/$it.cpp" "$out/world.o" -o "$out/$it" &
done
for it in $(jobs -p); do wait "$it"; done
