# Targets close after reading, answer late, truncate; callers see not run or unknown, with the request's id.
source "$(dirname "$0")/common.sh"
daemons=3
start_services $daemons
target_faults() { local i; for i in 0 1 2 3 4; do curl -s -o /dev/null -X POST -d "$1" "http://127.0.0.1:$((ports + 400 + i))/standin/faults"; done; }
ask() { curl -s -X "$1" -H "X-Request-Id: $2" "http://127.0.0.1:$((ports + 100))$3"; }

target_faults '{"closeAfterRead":1}'
ask POST once-1 '/kanalstivej/report-status/subscribe?key=k1' | tee "$run/closed.txt"; echo
grep -q '"code":"answer_lost".*"outcome":"unknown".*"requestId":"once-1".*"step":"target"' "$run/closed.txt" || fail "closed after reading"

target_faults '{"closeAfterWork":1}'
ask POST once-2 '/kanalstivej/report-status/subscribe?key=k1' | tee "$run/closed.txt"; echo
grep -q '"outcome":"unknown"' "$run/closed.txt" || fail "closed after the work"

target_faults '{"truncate":1}'
ask POST once-3 '/kanalstivej/report-status/subscribe?key=k1' | tee "$run/truncated.txt"; echo
grep -q '"code":"answer_truncated".*"outcome":"unknown"' "$run/truncated.txt" || fail "a truncated answer was passed on"

target_faults '{"truncate":1}'
ask GET many-1 '/kanalstivej/report-status/status?key=k1' | grep -q '"requestId":"many-1"' || fail "an idempotent read isn't sent again"

target_faults '{"lateMs":1500}'
ask POST once-4 '/kanalstivej/report-status/subscribe?key=k2' | tee "$run/late.txt"; echo
grep -q '"outcome":"unknown"' "$run/late.txt" || fail "a late answer"
target_faults '{}'
ask GET after-1 '/kanalstivej/report-status/status?key=k2' | grep -q '"requestId":"after-1"' || fail "a late answer met the next request"

for target in /nobody/x/y /kanalstivej/nothing/x /kanalstivej/report-status/status /; do
  answer=$(ask GET bad-1 "$target")
  echo "$answer"
  grep -q '"outcome":"not_run".*"requestId":"bad-1"' <<<"$answer" || fail "bad request $target"
done
finish_history
