#!/usr/bin/env bash
# Explores the model of ownership: the rules as they are must hold in every state, and each mutant must break them.
# Usage: scripts/model.sh [SECONDS]; the longest time for one exploration, 300 by default.
set -euo pipefail
model=$(cd "$(dirname "$0")/.." && pwd)/models/ownership.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
for mutant in 0 2 3; do
  spin -DMUTANT=$mutant -a "$model" >/dev/null
  gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -w -o pan pan.c
  timeout "${1:-300}" ./pan -E -m200000 >pan.log 2>&1 || true
  if ! grep -q 'errors: ' pan.log; then echo "mutant $mutant: not finished"; continue; fi
  echo "mutant $mutant: $(sed -n 's/.*\(errors: [0-9]*\).*/\1/p' pan.log), $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1 states/p' pan.log)"
done
