#!/usr/bin/env bash
# Checks formatting and runs the linter over all sources but the generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files 'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
echo "format: clean"
mapfile -t units < <(git ls-files 'src/*.cc' 'platform/*.cc' | grep -v '/generated/')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/release > build/lint.txt 2> build/lint-notes.txt || {
  cat build/lint.txt
  exit 1
}
echo "linter: clean"
