#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
bin=${BIN:-$PWD/review/bin} daemon=$PWD/target/agateturnd record=${RECORD:-$PWD/review/7/record.txt}
trouble=${TROUBLE:-1} seed=${SEED:-1} octet=${OCTET:-60} before=${BEFORE:-3.1}
for program in "$daemon" "$bin/agateturn-standin" "$bin/cutproxy"; do [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }; done
dir=$(mktemp -d) || exit 2
net=127.0.$octet ctl=127.9.$octet
pids=()
trap 'for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$dir"' EXIT
note() { echo "$(date -u +%T.%3N) $*" >>"$dir/notes"; }
proxy() { # CONTROL-BYTE FROM TO FIRST COUNT PORT
  "$bin/cutproxy" -control "$ctl.$1:80${1}" -from "$2" -to "$3" -first "$4" -count "$5" -port "$6" -cut 0 2>>"$dir/proxies" & pids+=($!)
}
tell() { # CONTROL-BYTE PATH
  exec 3<>"/dev/tcp/$ctl.$1/80$1" || return
  printf 'GET /%s HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3 >/dev/null
  exec 3>&-
}
for h in 1 2 3 4; do
  proxy "1$h" "127.$h.$octet" "$net" 20 13 9100                  # its workers
  proxy "2$h" "127.$((h + 4)).$octet" "$net" 100 1 $((18500 + h)) # its store
  for o in 1 2 3 4; do [ $o = $h ] || proxy "$((h + 2))$o" "127.$h.$octet" "127.$o.$octet" $o 1 7001; done # the other entry hosts
  cat >"$dir/$h.ini" <<INI
[job_host]
name = entry-$h
data_centre = zone-1
ip = $net.$h
caller_address = $net.$h:7000
ready_address = $net.$h:7003
peer_address = 127.$h.$octet.$h:7001
zones = zone-1
cores = 0.4
memory_mb = 284
[job_store]
address = 127.$((h + 4)).$octet.100:$((18500 + h))
[host_api]
address = 127.$((h + 4)).$octet.100:$((18500 + h))
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
done
"$bin/agateturn-standin" jobs --listen "$net.100:18500" --network "$net" --views "127.1.$octet,127.2.$octet,127.3.$octet,127.4.$octet" --entries "$net.1:7000,$net.2:7000,$net.3:7000,$net.4:7000" \
  --ready "$net.1:7003,$net.2:7003,$net.3:7003,$net.4:7003" --duration 200s --rate 0.2 --seed "$seed" --pools 2,10,1 --history "$dir/history" >"$dir/standin.log" 2>&1 & pids+=($!)
for h in 1 2 3 4; do AGATETURN_NODE_FILE=$dir/$h.ini "$daemon" >>"$dir/$h.log" 2>&1 & pids+=($!); done
for _ in $(seq 75); do grep -q 'load begins' "$dir/standin.log" && break; sleep 0.2; done
grep -q 'load begins' "$dir/standin.log" || { cat "$dir/standin.log" >&2; exit 2; }
sleep 8
# The job that lasts is the one of three work items on pool-1, whose machines are m01 and m02.
job=$(grep -E ' 0 2\} starts on worker m0[12]-' "$dir/history" | head -n 1 | sed -E 's/.*job ([0-9a-f]{16}).*/\1/')
worker=$(grep "{$job 0 0} starts on worker" "$dir/history" | tail -n 1 | sed -E 's/.*worker m0*([0-9]+)-.*/\1/')
owners() { cat "$dir"/?.log | grep name=pool_gained | grep "pool=$1 " | sed -E 's/.*entry_host=entry-([0-9]).*fence=([0-9]+).*/\2 \1/' | sort -n | tail -n 1 | cut -d' ' -f2; }
a=$(owners pool-1) free=$(printf '1\n2\n3\n4\n' | grep -v -E "$(owners pool-1)|$(owners pool-2)|$(owners '~fleet')")
b=$(echo "$free" | head -n 1) last=$((19 + worker))
other=$((19 + 3 - worker))
note "entry-$a owns pool-1 (m1, m2), entry-$b owns no pool; work item 0 of $job runs on m$worker at $net.$last"
{ [ -n "$job" ] && [ -n "$b" ] && [ "$worker" -le 2 ]; } || { cat "$dir/notes" >&2; exit 2; }
if [ "$trouble" = 1 ]; then
  tell "1$a" "cut?last=$last"; note "m$worker loses the path to entry-$a"
  sleep "$before"
  tell "1$b" "cut?last=$other"; note "m$((3 - worker)) loses the path to entry-$b"
  for h in 1 2 3 4; do [ $h = $a ] || { tell "$((h + 2))$a" "cut?last=all"; tell "$((a + 2))$h" "cut?last=all"; }; done
  tell "2$a" "cut?last=all"; note "entry-$a is cut off from the store and from the other entry hosts"
  sleep 5.35
  tell "1$a" heal; tell "1$b" heal; note "the workers have all paths again"
  sleep 0.1
  for h in 1 2 3 4; do [ $h = $a ] || { tell "$((h + 2))$a" heal; tell "$((a + 2))$h" heal; }; done
  tell "2$a" heal; note "entry-$a is reached again"
else
  sleep 8
fi
sleep 5
{
  echo "disruptions:"; cat "$dir/notes"
  echo "broken:"; grep "twice" "$dir/history"
  echo "owners:"; cat "$dir"/?.log | grep -E "name=(pool_gained|pool_taken_over|pool_lost|tasks_lost|pool_handed_over)" | sed 's/ level=INFO//' | sort
  echo "sent, answered and run, of that job:"; grep "$job" "$dir/history"
} >"$record"
[ -n "$KEEP" ] && cp -r "$dir" "$KEEP"
grep -q "runs twice" "$dir/history" && exit 1
exit 0
