#!/bin/bash
# Builds what the scripts of review/11 to review/13 start besides the daemon: the stand-ins and a program for each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/third -B target-third -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target-third
