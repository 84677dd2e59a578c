# Functions that start and stop a deployment of plain processes on loopback, sourced by the other scripts. Each process is
# started here, stopped by its process id, and waited for.

entry_hosts=${ENTRY_HOSTS:-9}
network=${NETWORK:-127.0} # first half of every address, so that two deployments can run side by side
entry_net=${ENTRY_NET:-$network.1} # the first three bytes of the entry hosts' addresses
platform=${PLATFORM:-$network.0.1:18500}
workers_admin=${WORKERS_ADMIN:-$network.0.1:18600}
token=demo-operator-token
declare -A pids

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # NAME [SIGNAL]
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    case $name in entry-*) kill -CONT "${pids[$name]}" 2>/dev/null; kill -TERM "${pids[$name]}" 2>/dev/null ;; esac
  done
  for name in "${!pids[@]}"; do stop "$name"; done
}

data_centres() { sed -n 's/^\[data_centre "\(.*\)"\]$/\1/p' "$deployment"; }

write_settings() { # NUMBER
  local n=$1 dcs
  mapfile -t dcs < <(data_centres)
  cat >"$run/entry-$n.ini" <<INI
[entry_host]
name = entry-$n
data_centre = ${dcs[$(((n - 1) % ${#dcs[@]}))]}
caller_address = $entry_net.$n:7000
peer_address = $entry_net.$n:7001
operator_address = $entry_net.$n:7002
peers = $(for i in $(seq "$entry_hosts"); do [ "$i" = "$n" ] || printf '%s.%s:7001,' "$entry_net" "$i"; done | sed 's/,$//')

[store]
address = http://$platform

[platform]
address = http://$platform
poll = ${POLL:-500ms}

[operator]
token = $token

[timing]
drain_notice = ${DRAIN_NOTICE:-200ms}
INI
}

# refuse_if_taken exits if an address is in use, because two deployments on the same addresses would join each other's fleet.
refuse_if_taken() {
  local address
  for address in "$platform" "$workers_admin" "$network.1.1:7002"; do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}") 2>/dev/null; then
      echo "$address is in use: another deployment is running there; stop it, or select other addresses with NETWORK=127.77" >&2
      exit 1
    fi
  done
}

# check_platform exits if the platform stand-in did not start, for example after losing a race for its address.
check_platform() {
  sleep 0.3
  kill -0 "${pids[platform]}" 2>/dev/null && return 0
  echo "the platform stand-in did not start:" >&2
  cat "$run/platform.log" >&2
  exit 1
}

start_platform() {
  refuse_if_taken
  start platform "$bin/agateturn-standin" platform --listen "$platform" --deployment "$deployment" \
    --entry-hosts "$(seq -s, -f 'entry-%g' "$entry_hosts")" --reboot-time 2s --workers-admin "http://$workers_admin"
  start workers "$bin/agateturn-standin" workers --deployment "$deployment" --admin "$workers_admin"
  check_platform
}

start_entry() { # NUMBER
  write_settings "$1"
  start "entry-$1" "$bin/agateturnd" --config "$run/entry-$1.ini"
}

start_cluster() {
  start_platform
  local n
  for n in $(seq "$entry_hosts"); do start_entry "$n"; done
}

ctl() { AGATETURN_TOKEN=$token "$bin/agateturnctl" --address "${operator:-$entry_net.1:7002}" "$@"; }

# in_network copies a deployment and moves its workers' addresses into the network.
in_network() { sed "s/^address = 127\.0\./address = $network./" "$1" >"$2"; }
