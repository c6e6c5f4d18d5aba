#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja
cmake --build build
