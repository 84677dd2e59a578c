#!/usr/bin/env bash
# Runs jobs on three entry hosts: one process for platform, workers and callers, and one for each entry host, on loopback.
# One entry host is killed and restarted under load. Exits with 0 only if no guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=${RUN:-$PWD/run/demo-jobs}
rm -rf "$run" && mkdir -p "$run"
network=${NETWORK:-127.0}
net=$network.2
platform=$net.100:18500
token=demo-operator-token
declare -A pids

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # NAME [SIGNAL]
  kill "-${2:-TERM}" "${pids[$1]}" 2>/dev/null || true
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do stop "$name"; done
}
trap stop_all EXIT

write_settings() { # NUMBER
  cat >"$run/entry-$1.ini" <<INI
[job_host]
name = entry-$1
data_centre = zone-1
ip = $net.$1
caller_address = $net.$1:7000
peer_address = $net.$1:7001
operator_address = $net.$1:7002
ready_address = $net.$1:7003
operator_token = $token

[job_store]
address = $platform

[host_api]
address = $platform

[job_bounds]
move_time = 1s
upkeep_time = 1500ms
heartbeat = 1s
INI
}

start_entry() { # NUMBER
  write_settings "$1"
  start "entry-$1" "$bin/agateturnd" --config "$run/entry-$1.ini"
}

addresses() { printf "$net.1:%s,$net.2:%s,$net.3:%s" "$1" "$1" "$1"; }

ctl() { AGATETURN_TOKEN=$token "$bin/agateturnctl" --address "$net.$1:7002" "${@:2}"; }

show() { # COMMAND...
  echo "\$ agateturnctl ${*:2}"
  ctl "$@" || echo "agateturnctl exited with $?"
}

await_load() {
  for _ in $(seq 150); do
    grep -q 'load begins' "$run/platform.log" && return 0
    kill -0 "${pids[platform]}" 2>/dev/null || break
    sleep 0.2
  done
  echo "the load did not start:" >&2
  cat "$run/platform.log" >&2
  return 1
}

start platform "$bin/agateturn-standin" jobs --listen "$platform" --network "$net" --entries "$(addresses 7000)" \
  --ready "$(addresses 7003)" --duration "${DURATION:-20s}" --rate "${RATE:-5}" --seed "${SEED:-1}" --crash \
  --silence "${SILENCE:-2s}" --lose-every "${LOSE_EVERY:-50}" --late-every "${LATE_EVERY:-0}"
sleep 0.3
for n in 1 2 3; do start_entry "$n"; done
await_load
sleep 4
echo "entry-2 is killed"
stop entry-2 KILL
sleep 2
echo "entry-2 is restarted"
start_entry 2
sleep 1
show 1 jobs list --limit 3
job=$(ctl 1 jobs list --state running --limit 20 | awk 'NR > 1 { id = $1 } END { print id }') || true
[ -z "$job" ] || { show 3 jobs show "$job"; show 3 jobs explain "$job"; }

echo "waiting for the callers"
wait "${pids[platform]}" && status=0 || status=$?
unset 'pids[platform]'
cat "$run/platform.log"
[ "$status" = 0 ] && echo "demo jobs: no guarantee was violated" || echo "demo jobs: failed; the logs are in $run"
exit "$status"
