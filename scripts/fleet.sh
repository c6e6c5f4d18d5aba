# Starts and stops a fleet of stand-ins and daemons on the loopback interface. To be sourced.
#
# Ports: platform 18099; daemon i: callers 18100+i, peers 18200+i, operators 18300+i; targets 18400 and up.
# Everything that a run leaves behind is under $run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${SARDINEHINGE_BUILD:-$root/build}
daemon=$build/packages/daemon/sardinehinged
ctl=$build/packages/client/sardinehingectl
loadgen=$build/benchmark/loadgen
historycheck=$build/benchmark/historycheck
platform=127.0.0.1:18099
run=${run:-$(mktemp -d)}
domains=(viborg silkeborg randers)
declare -A pids

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  pids=()
}

start_platform() {
  "$build/standins/platform-standin" --address="$platform" 2>>"$run/platform.log" &
  pids[platform]=$!
  until curl -s -o /dev/null "http://$platform/standin/counts"; do sleep 0.05; done
}

platform_faults() { curl -s -o /dev/null -X POST -d "$1" "http://$platform/standin/faults"; }
platform_counts() { curl -s "http://$platform/standin/counts"; }

# list_instance ID KIND ADDRESS DOMAIN SERVICE [LEAVING]
list_instance() {
  local body="{\"kind\":\"$2\",\"address\":\"$3\",\"failureDomain\":\"$4\",\"service\":\"$5\",\"leaving\":${6:-false}}"
  curl -s -o /dev/null -X PUT -d "$body" "http://$platform/standin/instances/$1"
}
unlist_instance() { curl -s -o /dev/null -X DELETE "http://$platform/standin/instances/$1"; }

# start_daemon NUMBER: the process; it must be listed with list_daemon.
start_daemon() {
  local i=$1
  "$daemon" --id="daemon-$i" --failure-domain="${domains[i % 3]}" --caller-address="127.0.0.1:$((18100 + i))" \
    --peer-address="127.0.0.1:$((18200 + i))" --operator-address="127.0.0.1:$((18300 + i))" \
    --platform-url="http://$platform" ${daemon_options:-} 2>>"$run/daemon-$i.log" &
  pids[daemon-$i]=$!
}
list_daemon() { list_instance "daemon-$1" daemon "127.0.0.1:$((18200 + $1))" "${domains[$1 % 3]}" ""; }

# start_target ID PORT SERVICE DOMAIN [OPTION...]
start_target() {
  local id=$1 port=$2 service=$3 domain=$4
  shift 4
  "$build/standins/target-standin" --id="$id" --address="127.0.0.1:$port" --record="$run/$id.jsonl" "$@" \
    2>>"$run/$id.log" &
  pids[$id]=$!
  list_instance "$id" target "127.0.0.1:$port" "$domain" "$service"
}

# kill_target ID: SIGKILL, and a line in its record that says since when its process does nothing. It is stopped for the
# reading of the clock, so that nothing runs after it and nothing is reassigned before.
kill_target() {
  kill -STOP "${pids[$1]}"
  perl -MTime::HiRes=clock_gettime -e 'printf "{\"kind\":\"gone\",\"target\":\"%s\",\"at\":%d}\n", $ARGV[0], clock_gettime(7) * 1e9' "$1" \
    >>"$run/$1.jsonl"
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
}

# start_fleet DAEMONS: platform and daemons, ready to serve.
start_fleet() {
  local count=$1 i
  start_platform
  for ((i = 0; i < count; i++)); do list_daemon "$i"; done
  for ((i = 0; i < count; i++)); do start_daemon "$i"; done
  for ((i = 0; i < count; i++)); do await_ready "$i"; done
}

# Polls a command until it succeeds; fails after SECONDS.
await() {
  local seconds=$1 end
  shift
  end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "not within $seconds s: $*" >&2; return 1; }
    sleep 0.05
  done
}
await_ready() { await 15 curl -sf "http://127.0.0.1:$((18100 + $1))/health/ready"; }

callers() { local i list=; for ((i = 0; i < $1; i++)); do list+="127.0.0.1:$((18100 + i)),"; done; echo "${list%,}"; }
operators() { local i list=; for ((i = 0; i < $1; i++)); do list+="127.0.0.1:$((18300 + i)),"; done; echo "${list%,}"; }

# serves PATH [DAEMON]: one request is answered.
serves() { curl -sf --max-time 5 "http://127.0.0.1:$((18100 + ${2:-0}))$1"; }

# controller SERVICE: the number of the daemon that controls it, as daemon 0 (or $2) sees it.
controller() {
  "$ctl" --daemon="127.0.0.1:$((18300 + ${2:-0}))" status | sed -n "s|^service $1: .*controlled by daemon-\([0-9]*\) .*|\1|p"
}

# collect_history DAEMONS SERVICE...: what the checker reads, under $run/history.
collect_history() {
  local count=$1 i service
  shift
  mkdir -p "$run/history"
  for ((i = 0; i < count; i++)); do
    curl -s "http://127.0.0.1:$((18300 + i))/timeline" >"$run/history/timeline-$i.json" || true
  done
  for service in "$@"; do
    curl -s "http://$platform/versions/assignments/$service" >"$run/history/versions-${service//\//-}.json"
  done
}
check_history() { "$historycheck" "$run"/*.jsonl "$run"/history/*.json; }
