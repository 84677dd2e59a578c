#!/usr/bin/env bash
# Measures what control costs at several sizes, with the real daemons and stand-ins on loopback, and writes the table
# and the plot of docs/CAPACITY.md. It stops by itself. Usage: capacity.sh [STEP...]; the steps are the functions below.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-$PWD/bin}
run=${RUN:-$PWD/run/capacity}
samples=${SAMPLES:-$PWD/docs/capacity-samples.tsv}
windows=${WINDOWS:-3}
window=${WINDOW:-6s}
export POLL=2s DRAIN_NOTICE=200ms
mkdir -p "$run"
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap 'stop_all' EXIT

wait_until() { # SECONDS COMMAND...
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || { echo "not reached: $*" >&2; return 1; }
    sleep 0.3
  done
}

write_daemons() {
  local n
  for n in $(seq "$entry_hosts"); do echo "entry-$n ${pids[entry-$n]} 127.0.1.$n:7002"; done >"$run/daemons"
}

begin() { # SERIES HOSTS ENTRY-HOSTS POOLS TEAMS
  series=$1 hosts=$2 entry_hosts=$3 pools=$4 teams=$5 first=0
  echo "$(date +%T) $series: $hosts hosts, $entry_hosts entry hosts, $pools pools, $teams teams"
  deployment=$run/deployment.ini
  "$bin/agateturn-capacity" deployment --hosts "$hosts" --pools "$pools" --teams "$teams" --out "$deployment"
  start_cluster
  write_daemons
  wait_until 30 ctl status
  wait_until 60 ctl config apply "$deployment" --wait 30s
  wait_until 60 ctl status --wait 30s --members "$entry_hosts"
  sleep 3
}

measure() { # STATE [OPTION...]
  local state=$1
  shift
  AGATETURN_TOKEN=$token "$bin/agateturn-capacity" sample --series "$series" --state "$state" \
    --hosts "$hosts" --pools "$pools" --teams "$teams" --daemons "$run/daemons" --platform "http://$platform" \
    --window "$window" --windows "$windows" --first "$first" --out "$samples" "$@"
  first=$((first + 8))
}

point() { # SERIES HOSTS ENTRY-HOSTS POOLS TEAMS
  begin "$@"
  measure idle
  measure config
  measure moves
  measure wave
  measure timing
  stop_all
}

hosts_series() { for n in 50 150 500 1400; do point hosts "$n" 9 5 20; done; }
entry_hosts_series() { for n in 3 9 18 30; do point entry-hosts 150 "$n" 5 20; done; }
pools_series() { for n in 14 28; do point pools 150 9 "$n" 20; done; }
teams_series() { for n in 60 200; do point teams 150 9 5 "$n"; done; }
design() { point design 1400 30 28 200; }

report() { "$bin/agateturn-capacity" report; }

for step in "${@:-all}"; do $step; done # a step may have arguments, as in "point trial 50 3 5 20"
