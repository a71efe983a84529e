#!/usr/bin/env bash
# Installs the packages, builds, and runs the formatter check, the linter and every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
scripts/lint.sh
scripts/run_tests.sh
