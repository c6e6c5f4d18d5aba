#!/usr/bin/env bash
# Runs the case of claim.txt: the store cuts waiting watches off while an endpoint leaves.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target-review2/watchcut
[ -x "$program" ] && [ -x target/packages/daemon/sardinehinged ] || exit 2
timeout 110 "$program" review/7/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
