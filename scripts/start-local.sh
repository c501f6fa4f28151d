#!/bin/bash
# Starts a small deployment on loopback from a finished build, prints its
# addresses and runs until Ctrl-C or "start-local.sh --stop".
# Usage: start-local.sh [--stop] [heshima|kamnik]
# Environment: BUILD (build), RR_BASE_PORT (26000).
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
base=${RR_BASE_PORT:-26000}
run=${TMPDIR:-/tmp}/rosemaryrail-local.$(id -u).$base

stop=false
deployment=heshima
for argument in "$@"; do
  case $argument in
    --stop) stop=true ;;
    heshima | kamnik) deployment=$argument ;;
    *) echo "usage: start-local.sh [--stop] [heshima|kamnik]" >&2; exit 2 ;;
  esac
done

# True if the recorded process still is a start-local.sh, as its id may have
# been reused.
running() {
  [ -f "$run/pid" ] || return 1
  pid=$(cat "$run/pid")
  tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q start-local.sh
}

if $stop; then
  running || { echo "not running (port base $base)"; exit 1; }
  kill "$pid"
  while running; do sleep 0.1; done
  echo "stopped"
  exit 0
fi
if running; then
  echo "already running, process $pid; stop it with scripts/start-local.sh --stop" >&2
  exit 1
fi
[ -x "$build/rosemaryraild/rosemaryraild" ] || {
  echo "no build in $build: run  meson setup build && ninja -C build" >&2
  exit 1
}

case $deployment in
  heshima) zones=(z1 z2 z3); cores=32000; memory=125000 ;;
  kamnik) zones=(z1 z2 z3 z4); cores=16000; memory=60000 ;;
esac
daemons=2 # in each zone, so that one can be replaced
workers=4 # in each zone
platform_port=$((base + 1))
mkdir -p "$run"
rm -f "$run"/*
echo $$ >"$run/pid"
pids=()

cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
  done
  wait
  rm -f "$run/pid"
  echo "stopped; logs in $run"
}
trap cleanup EXIT
trap 'exit 0' INT TERM

start() {
  log=$1
  shift
  "$@" >>"$run/$log.log" 2>&1 &
  pids+=("$!")
}

entry_port() { echo $((base + 10 + $1)); }
worker_port() { echo $((base + 100 + 10 * $1)); }

write_vms() {
  separator='{"vms":['
  index=0
  for z in "${!zones[@]}"; do
    zone=${zones[$z]}
    for ((i = 0; i < daemons; i++)); do
      printf '%s{"name":"%s-d%d","role":"entry","address":"127.0.0.1","http_port":%d,"rpc_port":%d,"zone":"%s","rack":"%s-e","incarnation":1,"state":"live"}\n' \
        "$separator" "$zone" "$i" "$(entry_port $index)" \
        $((base + 30 + index)) "$zone" "$zone"
      separator=,
      index=$((index + 1))
    done
    for ((i = 0; i < workers; i++)); do
      printf ',{"name":"%s-w%d","role":"worker","address":"127.0.0.1","http_port":%d,"rpc_port":0,"zone":"%s","rack":"%s-r0","incarnation":1,"state":"live"}\n' \
        "$zone" "$i" $(($(worker_port "$z") + i)) "$zone" "$zone"
    done
  done
  printf ']}\n'
}
write_vms >"$run/vms.json"

start platform "$build/standins/rr-platform" --port=$platform_port \
  --vms="$run/vms.json" --max-run-s=86400
for z in "${!zones[@]}"; do
  start "workers-${zones[$z]}" "$build/standins/rr-worker" \
    --first-port="$(worker_port "$z")" --count=$workers \
    --name-prefix="${zones[$z]}-w" --zone="${zones[$z]}" \
    --cores-milli=$cores --memory-mb=$memory --work-speed=60 \
    --max-run-s=86400
done
index=0
for zone in "${zones[@]}"; do
  for ((i = 0; i < daemons; i++)); do
    start "$zone-d$i" "$build/rosemaryraild/rosemaryraild" \
      --set name="$zone-d$i" --set region=r1 --set zone="$zone" \
      --set http_port="$(entry_port $index)" \
      --set rpc_port=$((base + 30 + index)) \
      --set platform_address=127.0.0.1 --set platform_port=$platform_port \
      --set chart_directory=charts --set drain_ms=1000
    index=$((index + 1))
  done
done

# The deployment is up once the first daemon sees an owner for every shard and
# every worker is claimed; a request or job sent earlier may be refused.
first=127.0.0.1:$(entry_port 0)
up() {
  status=$(curl -fs "http://$first/v1/status") || return 1
  ! grep -q '"owner":""' <<<"$status" || return 1
  claimed=$(grep -o '"workers":[0-9]*' <<<"$status" \
    | awk -F: '{n += $2} END {print n + 0}')
  [ "$claimed" = $((${#zones[@]} * workers)) ]
}
for _ in $(seq 1 300); do
  up && break
  sleep 0.1
done
up || { echo "not up after 30 s; logs in $run" >&2; exit 1; }
# With a port in use, the answers above may come from another deployment.
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || {
    echo "a process ended at its start; logs in $run" >&2
    exit 1
  }
done

echo "deployment  $deployment, ${#zones[@]} zones, $workers workers each"
echo "platform    127.0.0.1:$platform_port"
index=0
for zone in "${zones[@]}"; do
  for ((i = 0; i < daemons; i++)); do
    echo "daemon      127.0.0.1:$(entry_port $index)  $zone-d$i"
    index=$((index + 1))
  done
done
echo "logs        $run"
echo "Ctrl-C or scripts/start-local.sh --stop ends it."
wait
