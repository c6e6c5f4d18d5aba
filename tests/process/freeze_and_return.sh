# An owner, then the controller, are frozen for longer than a lease and return as if nothing had happened.
source "$(dirname "$0")/common.sh"
daemons=11
start_services $daemons
reads reads 9
reports once 9 /kanalstivej/report-status/subscribe --keys=40
sleep 1
victim=$(owner k1)
kill -STOP "${pids[$victim]}"
sleep 2
kill -CONT "${pids[$victim]}"
sleep 1
controlling=daemon-$(controller kanalstivej/report-status)
kill -STOP "${pids[$controlling]}"
sleep 2
kill -CONT "${pids[$controlling]}"
await_load
cat "$run"/reads.txt "$run"/once.txt
await 5 all_keys_served
finish_history
