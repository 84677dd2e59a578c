#!/usr/bin/env bash
# Runs one of the two deployments of examples/ end to end: entry hosts, platform, workers and callers as processes on
# loopback. Prints a table and exits with 0 only if every expectation held.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-agency}
bin=$PWD/bin
run=$PWD/run/demo-$name
rm -rf "$run" && mkdir -p "$run"
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
deployment=$run/deployment.ini
in_network "examples/$name/deployment.ini" "$deployment"
trap 'stop_all' EXIT

failures=0
expect() { # WHAT COMMAND...
  local what=$1
  shift
  if "$@" >"$run/step.log" 2>&1; then
    printf 'ok    %s: %s\n' "$what" "$(tail -n 1 "$run/step.log")"
  else
    printf 'FAIL  %s (exit %s)\n' "$what" "$?"
    sed 's/^/      /' "$run/step.log"
    failures=$((failures + 1))
  fi
}

start_cluster
retry_until_up() { for _ in $(seq 50); do ctl status >/dev/null 2>&1 && return 0; sleep 0.2; done; return 1; }
expect "operator API answers" retry_until_up
expect "configuration accepted and in force on all" ctl config apply "$deployment" --wait 15s
expect "all entry hosts ready" ctl status --wait 15s --members "$entry_hosts"

services=$(sed -n 's/^\[service "\(.*\)"\]$/\1/p' "$deployment")
teams=$(sed -n 's/^\[team "\(.*\)"\]$/\1/p' "$deployment" | paste -sd,)
spare=$(sed -n 's/^spare_pool = //p' "$deployment")
targets=$(for n in $(seq "$entry_hosts"); do printf '%s.1.%s:7000,' "$network" "$n"; done)
rates=$(for s in $services; do printf '%s=%s,' "$s" "${RATE:-60}"; done)
start load "$bin/agateturn-standin" load --targets "${targets%,}" --services "${rates%,}" --teams "$teams" \
  --duration "${DURATION:-20s}" --session-length 3s --strict --output table

host_of() { awk -v pool="$1" '/^\[host /{gsub(/[\[\]"]/,""); h=$2} $1=="pool" && $3==pool && h{print h; h=""}' "$deployment"; }
last=$(echo "$services" | tail -n 1)
moved=$(host_of "$last" | tail -n 1)
second=$(echo "$services" | sed -n 2p)
maintained=$(host_of "$second" | tail -n 2 | paste -sd,)
sleep 3
expect "move $moved from $last to $spare" ctl hosts move "$moved" "$spare" --wait 30s
expect "wave maintains $maintained" ctl waves create demo --hosts "$maintained" --wait 60s
sed 's/^failure_share = .*/failure_share = 0.25/' "$deployment" >"$run/changed.ini"
expect "changed configuration in force on all" ctl config apply "$run/changed.ini" --wait 15s
expect "planned stop of entry-$entry_hosts" stop "entry-$entry_hosts"
expect "a new entry-$entry_hosts joins" eval "start_entry $entry_hosts; ctl status --wait 15s --members $entry_hosts"

echo "waiting for the callers"
wait "${pids[load]}" && load_status=0 || load_status=$?
unset 'pids[load]'
moves=$(ctl measures --output json | sed -n 's/.*"moves": \([0-9]*\).*/\1/p')
expect "callers got complete answers to their own requests" test "$load_status" = 0
expect "workers observed no violated guarantee" "$bin/agateturn-standin" judge --deployment "$deployment" \
  --admin "http://$workers_admin" --moves "$moves"
cat "$run/load.log"
ctl measures
ctl pools
expect "all processes stopped" stop_all
[ ${#pids[@]} = 0 ] || failures=$((failures + 1))
[ "$failures" = 0 ] && echo "demo $name: every expectation held" || echo "demo $name: $failures expectations failed"
exit "$((failures > 0))"
