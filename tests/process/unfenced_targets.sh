# Targets that take any order: a killed owner is replaced; a frozen one keeps its keys until it answers or is gone.
source "$(dirname "$0")/common.sh"
daemons=5
target_options=--ignore-fences
start_services_file=$(mktemp)
sed 's/"name": "report-status",/"name": "report-status", "targetsCheckFences": false,/' "$root/examples/kanalstivej.json" >"$start_services_file"
workspace=$start_services_file
start_services $daemons
rm -f "$start_services_file"
reads reads 8
sleep 1
frozen=$(owner k1)
kill -STOP "${pids[$frozen]}"
sleep 2
"$ctl" --daemon="$(operators 1)" assignment show kanalstivej/report-status | grep -q " $frozen\$" \
  || fail "the keys of a frozen target that doesn't check fences were given away"
kill -CONT "${pids[$frozen]}"
sleep 1
killed=$(owner k2)
kill_target "$killed"
await 3 serves "/kanalstivej/report-status/status?key=k2"
await_load
cat "$run/reads.txt"
finish_history
