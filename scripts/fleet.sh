# Starts and stops a fleet of stand-ins and daemons on the loopback interface. To be sourced.
#
# Ports, from $ports up: platform 99; daemon i: callers 100+i, peers 200+i, operators 300+i; targets 400 and up.
# Everything that a run leaves behind is under $run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${SARDINEHINGE_BUILD:-$root/build}
daemon=$build/packages/daemon/sardinehinged
ctl=$build/packages/client/sardinehingectl
loadgen=$build/benchmark/loadgen
historycheck=$build/benchmark/historycheck
run=${run:-$(mktemp -d)}
domains=(viborg silkeborg randers)
declare -A pids

# free_ports FIRST: nothing else uses the ports_per_fleet ports from FIRST up.
free_ports() {
  perl -MSocket -e '
    my ($first, $count) = @ARGV;
    for my $port ($first .. $first + $count - 1) {
      my ($name, $tcp, $udp) = pack_sockaddr_in($port, INADDR_LOOPBACK);
      socket($tcp, PF_INET, SOCK_STREAM, 0) and setsockopt($tcp, SOL_SOCKET, SO_REUSEADDR, 1) and bind($tcp, $name) or exit 1;
      socket($udp, PF_INET, SOCK_DGRAM, 0) and bind($udp, $name) or exit 1;
    }' "$1" "$ports_per_fleet"
}

# claim_ports: sets $ports to the first of a block of ports that no other fleet has, below those of outgoing connections.
# All processes of the fleet inherit the lock, so the block stays taken until the last of them has ended.
ports_per_fleet=500
claim_ports() {
  local block lock
  for block in {0..19}; do
    ports=$((10000 + (block + $$) % 20 * ports_per_fleet))
    exec {lock}>"${TMPDIR:-/tmp}/sardinehinge-ports-$UID-$ports"
    if flock --nonblock "$lock" && free_ports "$ports"; then return 0; fi
    exec {lock}>&-
  done
  echo "no free block of ports" >&2
  return 1
}
claim_ports
platform=127.0.0.1:$((ports + 99))

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
  "$daemon" --id="daemon-$i" --failure-domain="${domains[i % 3]}" --caller-address="127.0.0.1:$((ports + 100 + i))" \
    --peer-address="127.0.0.1:$((ports + 200 + i))" --operator-address="127.0.0.1:$((ports + 300 + i))" \
    --platform-url="http://$platform" ${daemon_options:-} 2>>"$run/daemon-$i.log" &
  pids[daemon-$i]=$!
}
list_daemon() { list_instance "daemon-$1" daemon "127.0.0.1:$((ports + 200 + $1))" "${domains[$1 % 3]}" ""; }

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
  unset "pids[$1]"
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
await_ready() { await 15 curl -sf "http://127.0.0.1:$((ports + 100 + $1))/health/ready"; }

callers() { local i list=; for ((i = 0; i < $1; i++)); do list+="127.0.0.1:$((ports + 100 + i)),"; done; echo "${list%,}"; }
operators() { local i list=; for ((i = 0; i < $1; i++)); do list+="127.0.0.1:$((ports + 300 + i)),"; done; echo "${list%,}"; }

# serves PATH [DAEMON]: one request is answered.
serves() { curl -sf --max-time 5 "http://127.0.0.1:$((ports + 100 + ${2:-0}))$1"; }

# controller SERVICE: the number of the daemon that controls it, as daemon 0 (or $2) sees it.
controller() {
  "$ctl" --daemon="127.0.0.1:$((ports + 300 + ${2:-0}))" status | sed -n "s|^service $1: .*controlled by daemon-\([0-9]*\) .*|\1|p"
}

# collect_history DAEMONS SERVICE...: what the checker reads, under $run/history.
collect_history() {
  local count=$1 i service
  shift
  mkdir -p "$run/history"
  for ((i = 0; i < count; i++)); do
    curl -s "http://127.0.0.1:$((ports + 300 + i))/timeline" >"$run/history/timeline-$i.json" || true
  done
  for service in "$@"; do
    curl -s "http://$platform/versions/assignments/$service" >"$run/history/versions-${service//\//-}.json"
  done
}

# end_targets: ends all targets, so that their records are complete. Daemons are stopped first: nobody gives the keys of
# a target that has ended to one that still runs.
end_targets() {
  local id
  for id in "${!pids[@]}"; do [[ $id != daemon-* ]] || kill -STOP "${pids[$id]}" 2>/dev/null || true; done
  for id in "${!pids[@]}"; do
    [ -e "$run/$id.jsonl" ] || continue
    kill -TERM "${pids[$id]}" 2>/dev/null || continue
    await 10 has_ended "${pids[$id]}" || return 1
    unset "pids[$id]"
  done
}
has_ended() { ! kill -0 "$1" 2>/dev/null; }

# check_history: ends the targets and checks what they recorded. Daemons stay stopped.
check_history() {
  end_targets || return 1
  "$historycheck" "$run"/*.jsonl "$run"/history/*.json
}
