#!/usr/bin/env bash
# Formatter and linter over all sources; both must be clean. Needs a configured build for its compile commands.
set -euo pipefail
build=${BUILD:-build}
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | xargs -P 4 -n 16 clang-format --dry-run --Werror
scripts/check-wire-names.sh
git ls-files 'packages/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'tools/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: clean"
