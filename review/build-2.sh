#!/usr/bin/env bash
# Builds the programs that the scripts in review/6 to review/10 start, into target-review2/. The deploy file's build
# comes first: the scripts run its daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B target-review2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target-review2 --parallel "${JOBS:-4}"
