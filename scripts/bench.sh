#!/usr/bin/env bash
# Measures, and prints each figure as `name value unit`. Usage: scripts/bench.sh [PART...]; all parts by default.
# Parts: failover double_failover handover config drain control stragglers crest slots balance added
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT
source scripts/benchparts.sh
parts=("$@")
[ ${#parts[@]} -gt 0 ] || parts=(failover double_failover handover config drain control stragglers crest slots balance added)
for part in "${parts[@]}"; do
  rm -rf "$run" && mkdir -p "$run"
  "bench_$part" 2>/dev/null
  stop_fleet 2>/dev/null
done
