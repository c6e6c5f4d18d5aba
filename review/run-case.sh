# Runs a case. To be sourced by its run.sh, with the case's folder as the argument.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=build-review/case$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/packages/daemon/sardinehinged ]; then
  echo "not built: run the build command of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
# Daemons end with the driver, also when it is killed. Anything but a verdict means that the case couldn't run.
timeout --signal=KILL 110 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
