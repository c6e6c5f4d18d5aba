# The history is read only after the targets have written their last lines: a late drop counts, and so does a late grant.
source "$(dirname "$0")/common.sh"
mkdir -p "$run/history"
echo '{"daemon":"daemon-0","entries":[]}' >"$run/history/timeline-0.json"

# record KIND TARGET SHARD EPOCH AT UNTIL
record() { echo "{\"kind\":\"$1\",\"target\":\"$2\",\"life\":\"1\",\"group\":\"w/s\",\"shard\":$3,\"epoch\":$4,\"at\":$5,\"until\":$6}" >>"$run/$2.jsonl"; }
# late_target ID RECORD...: a target that writes its last line while it ends.
late_target() {
  local id=$1
  shift
  (
    trap 'sleep 0.5; record "$@"; exit 0' TERM
    while :; do sleep 0.1; done
  ) &
  pids[$id]=$!
}

record granted status-0 0 1 10 100
record granted status-1 0 2 50 200
late_target status-0 dropped status-0 0 1 40 40
sleep 0.2
check_history || fail "a drop that a target recorded at its end was left out"

record granted status-2 1 1 10 100
late_target status-3 granted status-3 1 2 50 200
touch "$run/status-3.jsonl"
sleep 0.2
check_history && fail "a grant that a target recorded at its end was left out"
echo "late records count"
