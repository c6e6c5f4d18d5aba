#!/usr/bin/env bash
# Checks format and lint of all hand-written sources. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cpp' | grep -v -e '/generated/' -e '/tests/' -e '^tests/')
printf '%s\0' "${units[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint are clean"
