#!/usr/bin/env bash
# Installs, builds, and shows the main job: requests served through eleven daemons in three failure domains while the
# owner of keys is killed. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT

daemons=11
echo "starting the platform stand-in, $daemons daemons and 8 targets"
start_fleet $daemons
for i in 0 1 2 3 4; do start_target "status-$i" $((ports + 400 + i)) kanalstivej/report-status "${domains[i % 3]}"; done
for i in 0 1 2; do start_target "intake-$i" $((ports + 420 + i)) kanalstivej/damage-intake "${domains[i % 3]}"; done

"$ctl" --daemon="$(operators 1)" workspace apply examples/kanalstivej.json --expect=0 --author=demo --wait
await 15 serves "/kanalstivej/report-status/status?key=bridge-7"
echo "a keyed read:      $(serves '/kanalstivej/report-status/status?key=bridge-7' 3)"
echo "an unkeyed report: $(curl -s -X POST -d '{"what":"fallen willow"}' "http://127.0.0.1:$((ports + 105))/kanalstivej/damage-intake/report")"

echo "10 s of requests; the owner status-2 is killed after 4 s"
"$loadgen" --name=reads --addresses="$(callers $daemons)" --path=/kanalstivej/report-status/status --keys=200 \
  --rate=600 --seconds=10 --history="$run/reads.jsonl" >"$run/reads.txt" &
reads=$!
"$loadgen" --name=reports --addresses="$(callers $daemons)" --path=/kanalstivej/damage-intake/report --method=POST \
  --rate=200 --seconds=10 --non-idempotent --history="$run/reports.jsonl" >"$run/reports.txt" &
reports=$!
sleep 4
kill_target status-2
wait $reads $reports
cat "$run/reads.txt" "$run/reports.txt"
echo "longest time between two answers for one key: $(sed -n 's/^reads_key_gap_max //p' "$run/reads.txt")"

"$ctl" --daemon="$(operators $daemons)" timeline --picture="$run/timeline.svg" >"$run/timeline.txt"
echo "the time line has $(wc -l <"$run/timeline.txt") events; the loss of the owner:"
grep -E ' E(111|120|110) ' "$run/timeline.txt" | tail -3
collect_history $daemons kanalstivej/report-status
check_history
echo "everything is stopped"
