#!/usr/bin/env bash
# Measures the cost of the control plane at several sizes, with the real daemons and stand-ins on loopback, and writes the
# table and the plot of docs/CAPACITY.md. It exits when it is done. Usage: capacity.sh [STEP...]; the steps are the functions below.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-$PWD/bin}
run=${RUN:-$PWD/run/capacity}
samples=${SAMPLES:-$PWD/docs/capacity-samples.tsv}
windows=${WINDOWS:-3}
window=${WINDOW:-4s}
export POLL=2s DRAIN_NOTICE=200ms
# Separate addresses allow a demo to run at the same time.
ENTRY_NET=127.1.1 PLATFORM=127.1.0.1:18500 WORKERS_ADMIN=127.1.0.1:18600
mkdir -p "$run"
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap 'end_all' EXIT

end_all() { # kills the processes: a graceful stop of many entry hosts takes long and is not measured
  local name
  for name in "${!pids[@]}"; do stop "$name" KILL 2>/dev/null; done
}

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
  for n in $(seq "$entry_hosts"); do echo "entry-$n ${pids[entry-$n]} $entry_net.$n:7002"; done >"$run/daemons"
}

revision() { ctl status --output json | sed -n 's/^ *"fleet_revision": \([0-9]*\),$/\1/p' | head -n 1; }

settle() { # waits until the fleet has not changed for 3 s, 60 s at most
  local before after=none limit=$((SECONDS + 60))
  until [ "$after" = "${before:-}" ] || [ "$SECONDS" -ge "$limit" ]; do
    before=$(revision)
    sleep 3
    after=$(revision)
  done
  sleep "${SETTLE:-0}"
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
  settle
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
  measure timing
  end_all
}

point_with_wave() { # SERIES HOSTS ENTRY-HOSTS POOLS TEAMS
  begin "$@"
  measure idle
  measure config
  measure moves
  measure wave
  measure timing
  end_all
}

fault() { "$bin/agateturn-capacity" fault --platform "http://$platform" "$@"; }

load() { # STATE RATE [OPTION...]
  local state=$1 rate=$2 targets services
  shift 2
  targets=$(for n in $(seq "$entry_hosts"); do printf '%s.%s:7000,' "$entry_net" "$n"; done)
  services=$(for n in $(seq "$pools"); do printf 'service-%s=%s,' "$n" "$((rate / pools))"; done)
  start load "$bin/agateturn-standin" load --targets "${targets%,}" --services "${services%,}" --teams team-1,team-2 \
    --duration 30s --session-share 0 --output json "$@"
  sleep 4
  measure "$state"
  wait "${pids[load]}" || { echo "load $state failed" >&2; tail -n 3 "$run/load.log" >&2; }
  unset 'pids[load]'
}

loads() {
  begin load 150 9 5 20
  measure idle
  load load-200 200 --burst-factor 1 --idle-factor 1 --keyed-share 0
  load load-800 800 --burst-factor 1 --idle-factor 1 --keyed-share 0
  load load-800-keyed 800 --burst-factor 1 --idle-factor 1 --keyed-share 0.2
  load burst 300 --run-time 1s --burst-length 3s --keyed-share 0
  end_all
}

burst() { # all entry hosts queue
  begin load 150 9 5 20
  load burst 300 --run-time 1s --burst-length 3s --keyed-share 0
  end_all
}

restart() { # HOSTS ENTRY-HOSTS: all entry hosts are killed and restarted at once
  begin restart "$1" "$2" 5 20
  local n
  for _ in $(seq "$windows"); do
    for n in $(seq "$entry_hosts"); do stop "entry-$n" KILL; done
    fault --reset
    for n in $(seq "$entry_hosts"); do start_entry "$n"; done
    write_daemons
    sleep 15
    ctl status --wait 30s --members "$entry_hosts" >"$run/status"
    windows=1 window=15s measure restart --started
  done
  end_all
}

outage() { # HOSTS ENTRY-HOSTS: the store is down for 30 s
  begin outage "$1" "$2" 5 20
  for _ in $(seq "$windows"); do
    fault --down
    windows=1 window=30s measure store-down
    fault &
    windows=1 window=20s measure store-back
    wait $!
  done
  end_all
}

cut() { # HOSTS ENTRY-HOSTS: the entry hosts of data centres 2 and 4 are paused for 30 s, then resumed
  begin cut "$1" "$2" 5 20
  local n
  for n in $(seq "$entry_hosts"); do case $(((n - 1) % 5)) in 1 | 3) kill -STOP "${pids[entry-$n]}" ;; esac; done
  sleep 30
  for n in $(seq "$entry_hosts"); do case $(((n - 1) % 5)) in 1 | 3) kill -CONT "${pids[entry-$n]}" ;; esac; done
  windows=1 window=15s measure cut-healed
  end_all
}

base() { point_with_wave base 150 9 5 20; }
hosts_series() { for n in 50 500 1400; do point hosts "$n" 9 5 20; done; }
entry_hosts_series() { for n in 3 18 30; do point entry-hosts 150 "$n" 5 20; done; }
pools_series() { point pools 280 9 28 20; }
teams_series() { point teams 150 9 5 200; }
design() { SETTLE=20 point_with_wave design 1400 30 28 200; }
memory_limit() { # the design size with a memory limit of the Go runtime
  export GOMEMLIMIT=24MiB
  SETTLE=20 begin memory-limit 1400 30 28 200
  measure idle
  end_all
  unset GOMEMLIMIT
}

report() { "$bin/agateturn-capacity" report --window "${window%s}"; }

all() {
  rm -f "$samples"
  base; design; entry_hosts_series; hosts_series; loads; restart 1400 30; pools_series; teams_series; outage 150 30; memory_limit
  cut 150 10
  report
}

for step in "${@:-all}"; do $step; done # a step may take arguments, as in "point trial 50 3 5 20"
