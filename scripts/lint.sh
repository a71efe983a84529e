#!/usr/bin/env bash
# Runs the formatter check and the linter; both must be clean.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.hpp' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t units < <(git ls-files 'src/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'platform/*.cpp' 'soak/*.cpp' | grep -vE '\.pb\.|_test\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#units[@]} units linted"
