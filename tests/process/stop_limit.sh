# A daemon that stops answers the requests that its limit cuts, and refuses those that come late as not run.
source "$(dirname "$0")/common.sh"
daemons=1
daemon_options="--drain-notice-ms=200 --drain-limit-ms=5000"
workspace=$run/workspace.json
sed 's/"deadlineMs": 1000/"deadlineMs": 20000/' "$root/examples/kanalstivej.json" >"$workspace"
start_services $daemons
address=127.0.0.1:$((ports + 100))
# ask NAME PATH: the status in $run/NAME.status, 000 for a connection without an answer, and the body.
ask() {
  curl -s -m 15 -o "$run/$1.body" -w '%{http_code}' "http://$address$2" >"$run/$1.status" || true
}
clients=()
for i in 1 2 3 4; do
  ask "cut$i" "/kanalstivej/report-status/status?key=k$i&workMs=12000" &
  clients+=($!)
done
# The last bytes of this body come 3.9 s after the signal, in the second half of the limit.
{ printf 'POST /kanalstivej/damage-intake/report HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nContent-Length: 4\r\n\r\nab'
  sleep 4.4; printf 'cd'; sleep 2; } | perl -MIO::Socket::INET -e '
    my $socket = IO::Socket::INET->new($ARGV[0]) or die; $socket->autoflush(1);
    if (fork() == 0) { local $/; print scalar <$socket>; exit }
    while (sysread(STDIN, my $bytes, 4096)) { print $socket $bytes or last }
    wait' "$address" >"$run/late.txt" &
clients+=($!)
sleep 0.5
kill -TERM "${pids[daemon-0]}"
wait "${clients[@]}" || true
for i in 1 2 3 4; do
  echo "cut$i: $(cat "$run/cut$i.status") $(cat "$run/cut$i.body")"
  [ "$(cat "$run/cut$i.status")" = 502 ] || fail "a request at a target got no answer before the daemon ended"
  grep -q '"outcome":"unknown"' "$run/cut$i.body" || fail "a request that was sent isn't reported as unknown"
done
cat "$run/late.txt"; echo
grep -q '^HTTP/1.1 503 ' "$run/late.txt" || fail "a request that came late wasn't refused"
grep -q '"outcome":"not_run"' "$run/late.txt" || fail "a request that came late isn't reported as not run"
gone() { ! kill -0 "${pids[daemon-0]}"; }
await 5 gone || fail "the daemon doesn't end"
