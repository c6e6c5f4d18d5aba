#!/usr/bin/env bash
# Installs, builds, and runs all tests. Prints the known faults, which don't fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
known=()
while read -r name; do
  [ -z "$name" ] || known+=("$name")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
exclude=()
if [ ${#known[@]} -gt 0 ]; then
  pattern=$(printf '%s|' "${known[@]}")
  exclude=(--exclude-regex "^(${pattern%|})$")
fi
# Tests of real processes check times and run one at a time; see tests/CMakeLists.txt.
ctest --test-dir build --output-on-failure --parallel 4 "${exclude[@]}"
echo "known faults, not run above:"
cat KNOWN-RED.txt
