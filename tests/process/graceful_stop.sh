# A target is drained, a daemon stops, and a workspace shuts down, each under load; nothing in progress is cut.
source "$(dirname "$0")/common.sh"
daemons=5
workspace=$run/workspace.json
sed 's/"deadlineMs": 1000/"deadlineMs": 8000/' "$root/examples/kanalstivej.json" >"$workspace"
start_services $daemons
reads drain 5 --work-ms=20 --rate=200
reports drain_once 5 /kanalstivej/report-status/subscribe --keys=40
sleep 1
drained=$(owner k1)
"$ctl" --daemon="$(operators 1)" target drain "$drained" --workspace=kanalstivej --wait
is_empty() { ! "$ctl" --daemon="$(operators 1)" assignment show kanalstivej/report-status | grep -q " $drained\$"; }
await 3 is_empty || fail "the drained target still owns keys after 3 s"
await_load
cat "$run"/drain.txt "$run"/drain_once.txt
for name in drain drain_once; do
  expect "$name refused" "$(figure ${name}_not_run "$run/$name.txt")" == 0
  expect "$name unknown" "$(figure ${name}_unknown "$run/$name.txt")" == 0
done
curl -s "http://127.0.0.1:$((ports + 400 + ${drained#status-}))/standin/state"; echo

# A daemon that stops: the balancer is told first, then requests in progress end.
"$loadgen" --name=slow --addresses="127.0.0.1:$((ports + 104))" --path=/kanalstivej/report-status/status --keys=10 --work-ms=800 --rate=10 \
  --seconds=1 --history="$run/slow.jsonl" >"$run/slow.txt" &
sleep 0.9
kill -TERM "${pids[daemon-4]}"
await 2 bash -c "! curl -sf http://127.0.0.1:$((ports + 104))/health/ready" || fail "a stopping daemon stays ready"
await_load
expect "requests cut by a stopping daemon" "$(figure slow_unknown "$run/slow.txt")" == 0
expect "requests refused by a stopping daemon" "$(figure slow_not_run "$run/slow.txt")" == 0
gone() { ! kill -0 "${pids[daemon-4]}"; }
await 10 gone || fail "the daemon doesn't end"
daemons=4
await 5 all_keys_served

# A workspace that shuts down refuses new work as not run, and finishes what runs.
"$loadgen" --name=last --addresses="$(callers 4)" --path=/kanalstivej/report-status/status --keys=10 --work-ms=500 --rate=20 \
  --seconds=1 --history="$run/last.jsonl" >"$run/last.txt" &
sleep 0.9
"$ctl" --daemon="$(operators 1)" workspace shutdown kanalstivej >/dev/null
await_load
expect "requests cut by the shutdown" "$(figure last_unknown "$run/last.txt")" == 0
refuses() { curl -s "http://127.0.0.1:$((ports + 101))/kanalstivej/report-status/status?key=k1" | grep -q '"code":"shutting_down".*"outcome":"not_run"'; }
await 3 refuses || fail "new work isn't refused 3 s after the shutdown"
finish_history
