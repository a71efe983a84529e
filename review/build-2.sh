#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6 into target/review-2/, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/lab.cpp -o "$out/lab.o"
for it in garbled_answers spoilt_event; do
    g++ "${flags[@]}" "review/standins-2/$it.cpp" "$out/lab.o" -o "$out/$it.new"
    mv "$out/$it.new" "$out/$it"
done
