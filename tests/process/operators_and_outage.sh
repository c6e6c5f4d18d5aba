# Two operators race; an answer of the store is lost; the store is down and back.
source "$(dirname "$0")/common.sh"
daemons=11
start_services $daemons
revision=$("$ctl" --daemon="$(operators 1)" --json workspace show kanalstivej | sed -n 's/.*"revision": \([0-9]*\).*/\1/p')
sed 's/"deadlineMs": 1000/"deadlineMs": 900/' "$root/examples/kanalstivej.json" >"$run/a.json"
sed 's/"deadlineMs": 1000/"deadlineMs": 800/' "$root/examples/kanalstivej.json" >"$run/b.json"

for i in 0 1; do
  name=$([ $i = 0 ] && echo a || echo b)
  { "$ctl" --daemon="127.0.0.1:$((ports + 300 + i * 5))" workspace apply "$run/$name.json" --expect="$revision" --author="operator-$name" \
    >"$run/apply-$name.txt" 2>&1 && status=0 || status=$?
    echo "$status" >"$run/status-$name"; } &
done
await 10 test -s "$run/status-a" -a -s "$run/status-b"
statuses=$(cat "$run/status-a" "$run/status-b" | sort | tr '\n' ' ')
[ "$statuses" = "0 3 " ] || fail "exit statuses of two racing operators are $statuses, must be 0 and 3"
cat "$run"/apply-*.txt
grep -q "operator-.* came first with revision" "$run"/apply-*.txt || fail "the loser isn't told who won"

revision=$(sed -n 's/^applied kanalstivej revision \([0-9]*\)/\1/p' "$run"/apply-*.txt)
platform_faults '{"dropWriteAnswers":1}'
"$ctl" --daemon="$(operators 1)" workspace apply "$root/examples/kanalstivej.json" --expect="$revision" --author=test --wait \
  || fail "a change whose answer was lost isn't reported as applied"

before=$(platform_counts)
reads outage 8
sleep 1
platform_faults '{"down":true}'
sleep 2
"$ctl" --daemon="$(operators 1)" workspace apply "$run/a.json" --expect="$((revision + 1))" --author=test >"$run/refused.txt" 2>&1 \
  && fail "a change was accepted while the store was down"
cat "$run/refused.txt"
sleep 1
platform_faults '{}'
await_load
expect "reads not served while the store was down" "$(figure outage_not_run "$run/outage.txt")" == 0
expect "reads of unknown outcome while the store was down" "$(figure outage_unknown "$run/outage.txt")" == 0
await 5 all_keys_served
echo "platform calls before $before after $(platform_counts)"
finish_history
