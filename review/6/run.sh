#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does the same without the disruption.
# A deployment of three entry hosts is set up up to three times, until the rule is broken; about 30 seconds each.
cd "$(dirname "$0")/../.." || exit 2
here=$PWD/review/6 bin=${BIN:-$PWD/review/bin} daemon=$PWD/target/agateturnd
trouble=${TROUBLE:-1} seed=${SEED:-1} octet=${OCTET:-40} rate=${RATE:-125} record=${RECORD:-$PWD/review/6/record.txt}
for program in "$daemon" "$bin/agateturn-standin" "$bin/cutproxy"; do [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }; done
dir=$(mktemp -d) || exit 2
declare -a entry=()
standin='' proxy=''
stop_all() {
  for p in "${entry[@]}" $standin $proxy; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  entry=() standin='' proxy=''
}
trap 'stop_all; rm -rf "$dir"' EXIT
note() { echo "$(date -u +%T.%3N) $*" >>"$run/notes"; }
slow() { # MILLISECONDS
  local body="{\"store\":{\"delayMs\":$1}}"
  exec 3<>"/dev/tcp/$net.101/18600" || return
  printf 'PUT /control HTTP/1.1\r\nHost: standin\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' "${#body}" "$body" >&3
  cat <&3 >/dev/null
  exec 3>&-
  note "the store answers after $1 ms"
}
start() { AGATETURN_NODE_FILE=$run/$1.ini "$daemon" >>"$run/$1.log" 2>&1 & entry[$1]=$!; }
owner() { cat "$run"/?.log | grep name=pool_gained | grep pool=pool-1 | sed -E 's/.*entry_host=entry-([0-9]).*fence=([0-9]+).*/\2 \1/' | sort -n | tail -n 1 | cut -d' ' -f2; }
settings() { # NUMBER
  cat >"$run/$1.ini" <<INI
[job_host]
name = entry-$1
data_centre = zone-1
ip = $net.$1
caller_address = $net.$1:7000
ready_address = $net.$1:7003
operator_address = $net.$1:7002
peer_address = $view.$1:7001
zones = zone-1
cores = 0.4
memory_mb = 284
[job_store]
address = $net.100:18501
[host_api]
address = $net.100:18501
fencing = true
[job_bounds]
max_lease = 10s
stop_time = 400ms
move_time = 1500ms
upkeep_time = 2s
heartbeat = 1500ms
apply_time = 2s
grace = 6s
stable_window = 3s
INI
}
attempt() { # SEED OCTET
  net=127.0.$2 view=127.1.$2 run=$dir/$1
  mkdir "$run"
  "$bin/cutproxy" -from "$view" -to "$net" -count 62 -cut 10 & proxy=$!
  "$bin/agateturn-standin" jobs --listen "$net.100:18500" --network "$net" --views "$view" --control "$net.101:18600" \
    --entries "$net.1:7000,$net.2:7000,$net.3:7000" --ready "$net.1:7003,$net.2:7003,$net.3:7003" --duration 100s --rate "$rate" \
    --seed "$1" --pools 60,2 --history "$run/history" >"$run/standin.log" 2>&1 &
  standin=$!
  for i in 1 2 3; do settings $i; start $i; done
  for _ in $(seq 75); do grep -q 'load begins' "$run/standin.log" && break; sleep 0.2; done
  grep -q 'load begins' "$run/standin.log" || { cat "$run/standin.log" >&2; return 2; }
  slow 4
  sleep 3
  if [ "$trouble" = 1 ]; then
    slow 260
    sleep 5.6
    kill -USR1 $proxy; note "10 of 60 workers are cut off"
    sleep 2.9
    o=$(owner)
    kill -KILL "${entry[$o]}"; note "entry-$o, the owner of the pool, is killed"
    wait "${entry[$o]}" 2>/dev/null
    sleep 0.4
    slow 4
    sleep 2.1
    kill -USR2 $proxy; note "the workers are reached again"
    start "$o"; note "entry-$o starts again"
  else
    sleep 11
  fi
  sleep 6
  stop_all
  grep -q " is acknowledged" "$run/history" || return 2
  ! grep -q -E "after its success|succeeded twice" "$run/history"
}
result=0
for n in 1 2 3; do
  attempt $((seed * 10 + n)) $((octet + n)) || result=$?
  [ $result = 0 ] || break
done
for run in "$dir"/*; do
  echo "== deployment with seed ${run##*/}"
  echo "disruptions:"; cat "$run/notes" 2>/dev/null
  echo "broken:"; grep -E "after its success|succeeded twice" "$run/history"
  echo "owners and seals:"; cat "$run"/?.log | grep -E "name=(pool_gained|pool_taken_over|pool_lost)|seal adopted" | sed 's/ level=INFO//' | sort
done >"$record"
echo "sent, answered and run (last deployment; only the jobs of broken rules if there are any):" >>"$record"
jobs=$(grep -h -o -E "[0-9a-f]{16}[^ ]* (started after its success|succeeded twice)" "$run/history" | cut -c1-16 | sort -u | head -n 20 | paste -sd'|')
grep -E "${jobs:-.}" "$run/history" | head -n 4000 >>"$record"
exit $result
