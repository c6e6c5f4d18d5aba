# The parts of scripts/bench.sh. To be sourced after fleet.sh.

show() { echo "$1 $2 $3"; }
figure() { sed -n "s/^$1 \([0-9.]*\) .*/\1/p" "$2"; }
# quantile Q FILE: of numbers, one a line.
quantile() { sort -n "$2" | awk -v q="$1" '{ v[NR] = $1 } END { i = int(q * NR); if (i < q * NR) i++; if (i < 1) i = 1; print v[i] }'; }
now_ms() { perl -MTime::HiRes=clock_gettime -e 'printf "%.3f", clock_gettime(7) * 1e3'; }

# start_bench DAEMONS [TARGET_OPTION...]: a fleet with five keyed and three unkeyed targets.
start_bench() {
  local count=$1 i
  shift
  start_fleet "$count"
  for i in 0 1 2 3 4; do start_target "status-$i" $((ports + 400 + i)) kanalstivej/report-status "${domains[i % 3]}" "$@"; done
  for i in 0 1 2; do start_target "intake-$i" $((ports + 420 + i)) kanalstivej/damage-intake "${domains[i % 3]}" "$@"; done
  "$ctl" --daemon="$(operators 1)" workspace apply "${workspace:-$root/examples/kanalstivej.json}" --expect=0 --author=bench --wait >/dev/null
  await 15 serves "/kanalstivej/report-status/status?key=k1"
  sleep 2
}
owner() { serves "/kanalstivej/report-status/status?key=$1" "${2:-0}" | sed 's/.*"target":"\([^"]*\)".*/\1/'; }
restart_target() { start_target "$1" $((ports + 400 + ${1#status-})) kanalstivej/report-status "${domains[${1#status-} % 3]}"; }
probe() { # probe NAME SECONDS: 40 keys, each asked every 10 ms.
  "$loadgen" --name="$1" --addresses="${probe_addresses:-$(callers "$bench_daemons")}" --path=/kanalstivej/report-status/status --keys=40 \
    --rate=4000 --seconds="$2" >"$run/$1.txt"
}

bench_failover() {
  local round victim
  bench_daemons=11
  start_bench 11
  for round in 1 2 3 4 5 6 7 8; do
    probe kill 3 & local load=$!
    sleep 1; victim=$(owner k1 "$round"); kill_target "$victim"; wait $load
    figure kill_key_gap_max "$run/kill.txt" >>"$run/kills"; figure kill_not_run "$run/kill.txt" >>"$run/refused"
    restart_target "$victim"; sleep 1.5
    probe freeze 3 & load=$!
    sleep 1; victim=$(owner k1 "$round"); kill -STOP "${pids[$victim]}"; wait $load
    figure freeze_key_gap_max "$run/freeze.txt" >>"$run/freezes"
    kill -CONT "${pids[$victim]}"; sleep 1.5
  done
  show failover_killed_p99 "$(quantile 0.99 "$run/kills")" ms
  show failover_killed_p50 "$(quantile 0.5 "$run/kills")" ms
  show failover_frozen_p99 "$(quantile 0.99 "$run/freezes")" ms
  show failover_refused "$(awk '{ s += $1 } END { print s }' "$run/refused")" requests
  cat "$run/kills" "$run/freezes" >"$run/all"
  show failover_unavailable_p99 "$(quantile 0.99 "$run/all")" ms
  show failover_unavailable_max "$(quantile 1 "$run/all")" ms
}

bench_double_failover() {
  local round victim number load
  bench_daemons=11
  for round in 1 2 3 4 5 6; do
    start_bench 11
    number=$(controller kanalstivej/report-status)
    # Callers use the daemons that live on: a balancer's part isn't measured here.
    probe_addresses=$(callers 11 | tr ',' '\n' | grep -v ":$((ports + 100 + number))\$" | paste -sd,)
    probe both 4 & load=$!
    sleep 1; victim=$(owner k1 $(((number + 1) % 11))); kill -KILL "${pids[daemon-$number]}"; kill_target "$victim"; wait $load
    figure both_key_gap_max "$run/both.txt" >>"$run/gaps"
    probe_addresses=
    stop_fleet; mv "$run/gaps" /tmp/sardinehinge-gaps.$$; rm -rf "${run:?}"/*; mv /tmp/sardinehinge-gaps.$$ "$run/gaps"
  done
  show failover_with_controller_p50 "$(quantile 0.5 "$run/gaps")" ms
  show failover_with_controller_max "$(quantile 1 "$run/gaps")" ms
}

bench_handover() {
  local round load revision refused=0
  bench_daemons=11
  start_bench 11
  for round in 0 1 2 3 4 0 1 2; do
    probe move 3 & load=$!
    sleep 1
    "$ctl" --daemon="$(operators 1)" target drain "status-$round" --workspace=kanalstivej --wait >"$run/drained"; wait $load
    figure move_key_gap_max "$run/move.txt" >>"$run/gaps"
    refused=$((refused + $(figure move_not_run "$run/move.txt" | cut -d. -f1) + $(figure move_unknown "$run/move.txt" | cut -d. -f1)))
    revision=$(sed -n 's/^applied [^ ]* revision //p' "$run/drained")
    "$ctl" --daemon="$(operators 1)" workspace apply "$root/examples/kanalstivej.json" --expect="$revision" --wait >/dev/null
    sleep 2
  done
  show handover_unavailable_p50 "$(quantile 0.5 "$run/gaps")" ms
  show handover_unavailable_p99 "$(quantile 0.99 "$run/gaps")" ms
  show handover_not_served "$refused" requests
}

bench_config() {
  local count round started
  for count in 11 33; do
    start_bench "$count"
    : >"$run/times"
    local revision; revision=$("$ctl" --daemon="$(operators 1)" --json workspace show kanalstivej | sed -n 's/.*"revision": \([0-9]*\).*/\1/p')
    for round in $(seq 1 20); do
      # A killed daemon among them, off the instance list: what is listed must confirm.
      if [ "$round" = 10 ]; then kill -KILL "${pids[daemon-$((count - 1))]}"; unlist_instance "daemon-$((count - 1))"; sleep 1; fi
      sed "s/\"deadlineMs\": 1000/\"deadlineMs\": $((1000 + round))/" "$root/examples/kanalstivej.json" >"$run/next.json"
      started=$(now_ms)
      revision=$("$ctl" --daemon="127.0.0.1:$((ports + 300 + round % 5))" workspace apply "$run/next.json" --expect="$revision" --wait | sed -n 's/^applied [^ ]* revision //p')
      awk -v a="$started" -v b="$(now_ms)" 'BEGIN { print b - a }' >>"$run/times"
    done
    show "config_in_force_p50_$count" "$(quantile 0.5 "$run/times")" ms
    show "config_in_force_p99_$count" "$(quantile 0.99 "$run/times")" ms
    stop_fleet; rm -rf "${run:?}"/*
  done
}

bench_drain() {
  bench_daemons=5
  start_bench 5
  probe drain 5 & local load=$!
  sleep 1
  local target started; target=$(owner k1); started=$(now_ms)
  "$ctl" --daemon="$(operators 1)" target drain "$target" --workspace=kanalstivej >/dev/null; wait $load
  # The last request that the target started, by its own record, on the clock that all share.
  sed -n 's/.*"at":\([0-9]*\).*"kind":"start".*/\1/p' "$run/$target.jsonl" | tail -1 >"$run/last"
  show drain_last_new_request "$(awk -v s="$started" '{ v = $1 / 1e6 - s; print (v > 0 ? v : 0) }' "$run/last")" ms
}

# metric NAME-AND-LABELS DAEMON
metric() { curl -s "http://127.0.0.1:$((ports + 300 + $2))/metrics" | awk -v n="$1" 'index($1, n) == 1 { s += $2 } END { print s + 0 }'; }
control_sample() { # control_sample DAEMONS FILE: cpu seconds and bytes of control of each daemon.
  local i
  for ((i = 0; i < $1; i++)); do
    curl -s "http://127.0.0.1:$((ports + 300 + i))/metrics" | awk '
      /^sardinehinge_duty_cpu_seconds/ && !/"callers"|"routing"/ { cpu += $2 }
      /^sardinehinge_control_bytes_total/ { bytes += $2 }
      END { print cpu, bytes }'
  done >"$2"
}

bench_control() {
  local count seconds=20 i
  for count in ${bench_fleets:-3 11 33 99}; do
    start_bench "$count"
    sleep 5
    local calls; calls=$(platform_counts | tr -cd '0-9,\n' | awk -F, '{ s = 0; for (i = 1; i <= NF; i++) s += $i; print s }')
    local from; from=$(now_ms)
    control_sample "$count" "$run/before"
    sleep $seconds
    control_sample "$count" "$run/after"
    local span; span=$(awk -v a="$from" -v b="$(now_ms)" 'BEGIN { print (b - a) / 1000 }')
    paste "$run/before" "$run/after" | awk -v t="$span" '{ print ($3 - $1) / t * 100 }' >"$run/cpu"
    paste "$run/before" "$run/after" | awk -v t="$span" '{ print ($4 - $2) / t / 1000 }' >"$run/bytes"
    for ((i = 0; i < count; i++)); do awk '/^VmRSS/ { print $2 / 1024 }' "/proc/${pids[daemon-$i]}/status"; done >"$run/memory"
    show "control_cpu_median_$count" "$(quantile 0.5 "$run/cpu")" "%core"
    show "control_cpu_max_$count" "$(quantile 1 "$run/cpu")" "%core"
    show "control_bytes_median_$count" "$(quantile 0.5 "$run/bytes")" "KB/s"
    show "control_bytes_max_$count" "$(quantile 1 "$run/bytes")" "KB/s"
    show "control_memory_max_$count" "$(quantile 1 "$run/memory")" MB
    local later; later=$(platform_counts | tr -cd '0-9,\n' | awk -F, '{ s = 0; for (i = 1; i <= NF; i++) s += $i; print s }')
    show "store_calls_$count" "$(awk -v a="$calls" -v b="$later" -v t="$span" 'BEGIN { print (b - a) / t }')" "calls/s"
    stop_fleet; rm -rf "${run:?}"/*
  done
}

# Short reads beside stragglers: 1 in 50 requests takes 500 ms.
bench_stragglers() {
  local mode
  bench_daemons=11
  for mode in without with; do
    start_bench 11
    if [ $mode = with ]; then
      "$loadgen" --name=long --caller=batch --addresses="$(callers 11)" --path=/kanalstivej/report-status/history --keys=200 --rate=30 \
        --work-ms=500 --seconds=12 >"$run/long.txt" &
      sleep 4
    fi
    "$loadgen" --name=short --addresses="$(callers 11)" --path=/kanalstivej/report-status/status --keys=200 --rate=1500 --seconds=6 \
      --zipf=0.5 >"$run/short.txt"
    show "short_wait_p99_$mode" "$(figure short_p99 "$run/short.txt")" ms
    show "short_refused_$mode" "$(figure short_not_run "$run/short.txt")" requests
    show "most_running_$mode" "$(most_running)" requests
    stop_fleet; rm -rf "${run:?}"/*
  done
}
most_running() { # Requests that any keyed target ran at once.
  local i
  for i in 0 1 2 3 4; do curl -s "http://127.0.0.1:$((ports + 400 + i))/standin/state"; echo; done | sed 's/.*"most":\([0-9]*\).*/\1/' | sort -n | tail -1
}

# A tenfold swing: five targets of 6 slots and 10 ms of work can do 3000 requests a second.
bench_crest() {
  start_bench 11 --work-us=10000
  "$loadgen" --name=crest --addresses="$(callers 11)" --path=/kanalstivej/report-status/status --keys=2000 --rate=400 --peak-rate=4000 \
    --seconds=9 --history="$run/crest.jsonl" >"$run/crest.txt"
  # In the middle third the slots can do 3000/s; before and after the offered 400/s.
  show crest_goodput_ratio "$(awk -v g="$(figure crest_good "$run/crest.txt")" 'BEGIN { print g / (3000 * 3 + 400 * 6) }')" ratio
  show crest_not_run "$(figure crest_not_run "$run/crest.txt")" requests
  show crest_unknown "$(figure crest_unknown "$run/crest.txt")" requests
  show crest_p50 "$(figure crest_p50 "$run/crest.txt")" ms
  show crest_p99 "$(figure crest_p99 "$run/crest.txt")" ms
  show crest_most_running "$(most_running)" requests
  show crest_false_refusals "$("$historycheck" "$run"/*.jsonl | grep -c 'violation not-run' || true)" requests
}

# Ninety percent of what the slots can do: do slots idle, and are there more than six?
bench_slots() {
  start_bench 11 --work-us=10000
  "$loadgen" --name=full --addresses="$(callers 11)" --path=/kanalstivej/report-status/status --keys=2000 --rate=2700 --seconds=6 >"$run/full.txt"
  show slots_goodput_ratio "$(awk -v g="$(figure full_good "$run/full.txt")" 'BEGIN { print g / (2700 * 6) }')" ratio
  show slots_p50 "$(figure full_p50 "$run/full.txt")" ms
  show slots_p99 "$(figure full_p99 "$run/full.txt")" ms
  show slot_overrun_max "$(($(most_running) > 6 ? $(most_running) - 6 : 0))" requests
}

# A hot spot: Zipf keys, so that some shards carry much more. Load by target before and after the moves.
bench_balance() {
  start_bench 11
  local i before after
  "$loadgen" --name=hot --addresses="$(callers 11)" --path=/kanalstivej/report-status/status --keys=500 --zipf=1.0 --rate=1500 --seconds=60 >"$run/hot.txt" &
  local load=$!
  sleep 50
  before=$(for i in 0 1 2 3 4; do curl -s "http://127.0.0.1:$((ports + 400 + i))/standin/state"; echo; done | sed 's/.*"ran":\([0-9]*\).*/\1/' | tr '\n' ' ')
  wait $load
  after=$(for i in 0 1 2 3 4; do curl -s "http://127.0.0.1:$((ports + 400 + i))/standin/state"; echo; done | sed 's/.*"ran":\([0-9]*\).*/\1/' | tr '\n' ' ')
  show load_max_over_mean "$(echo "$before $after" | awk '{ for (i = 1; i <= 5; i++) { d = $(i + 5) - $i; s += d; if (d > m) m = d } print m / (s / 5) }')" ratio
  show owner_changes "$("$ctl" --daemon="$(operators 1)" assignment show kanalstivej/report-status | awk '{ s += $4 - 1 } END { print s }')" changes
  show hot_key_gap_max "$(figure hot_max "$run/hot.txt")" ms
}

# One daemon against the same targets called directly.
bench_added() {
  local rate
  start_bench 1
  for rate in 2000 5450; do
    "$loadgen" --name=direct --addresses="127.0.0.1:$((ports + 420)),127.0.0.1:$((ports + 421)),127.0.0.1:$((ports + 422))" --path=/direct --rate=$rate --seconds=5 >"$run/direct.txt"
    local cpu; cpu=$(daemon_cpu)
    "$loadgen" --name=routed --addresses="$(callers 1)" --path=/kanalstivej/damage-intake/receipt --rate=$rate --seconds=5 >"$run/routed.txt"
    show "direct_p99_$rate" "$(figure direct_p99 "$run/direct.txt")" ms
    show "router_p50_$rate" "$(figure routed_p50 "$run/routed.txt")" ms
    show "router_p99_$rate" "$(figure routed_p99 "$run/routed.txt")" ms
    show "router_not_run_$rate" "$(figure routed_not_run "$run/routed.txt")" requests
    show "router_cpu_per_request_$rate" "$(awk -v a="$cpu" -v b="$(daemon_cpu)" -v n=$((rate * 5)) 'BEGIN { print (b - a) * 1e6 / n }')" us
  done
}
daemon_cpu() { awk '{ print ($14 + $15) / 100 }' "/proc/${pids[daemon-0]}/stat"; }
