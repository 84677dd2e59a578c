#!/usr/bin/env bash
# Starts one of the two deployments of examples/ on loopback, applies its configuration and keeps it running until it is
# interrupted. Then it stops every process.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-agency}
bin=$PWD/bin
run=$PWD/run/up-$name
rm -rf "$run" && mkdir -p "$run"
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
deployment=$run/deployment.ini
in_network "examples/$name/deployment.ini" "$deployment"
trap 'echo; echo stopping; stop_all; exit 0' INT TERM
trap 'stop_all' EXIT

start_cluster
until ctl status >/dev/null 2>&1; do sleep 0.2; done
ctl config apply "$deployment" >"$run/apply.log"
ctl status --wait 15s --members "$entry_hosts" >"$run/status.log"
cat <<TEXT
$entry_hosts entry hosts run on $network.1.1 to $network.1.$entry_hosts: callers on port 7000, operators on port 7002.
In another terminal:

  export AGATETURN_ADDRESS=$network.1.1:7002 AGATETURN_TOKEN=$token PATH=\$PATH:$bin
  agateturnctl status

Logs are in ${run#"$PWD"/}. Ctrl-C stops everything.
TEXT
while true; do sleep 1; done
