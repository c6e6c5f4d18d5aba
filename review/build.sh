#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review
