#!/bin/bash
# Starts a small deployment on loopback, runs it through failures and prints
# the verdict of rr-verify.  Usage: demo.sh heshima|kamnik
set -u
cd "$(dirname "$0")/.."
deployment=${1:-heshima}
build=${BUILD:-build}
base=${RR_BASE_PORT:-24000}
run=$(mktemp -d "${TMPDIR:-/tmp}/rr-demo.XXXXXX")
pids=()
case $deployment in
  heshima) zones=(z1 z2 z3); cores=32000; memory=125000 ;;
  kamnik) zones=(z1 z2 z3 z4); cores=16000; memory=60000 ;;
  *) echo "unknown deployment: $deployment" >&2; exit 2 ;;
esac
workers=4
cut_zone=${zones[-1]}

# Ports: base + 1 platform, + 10.. HTTP, + 30.. RPC, + 100.. workers; the relay
# of the zone to be cut adds 500.
platform_port=$((base + 1))
control_port=$((base + 2))
relay=500

# Ends this run's processes and waits for them, so that the next run finds its
# ports free and no old daemon speaks to its store.
cleanup() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill "$pid" 2>/dev/null
  done
  for _ in $(seq 40); do
    left=
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null && left=$pid
    done
    [ -n "$left" ] || return
    sleep 0.05
  done
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null
  done
  sleep 0.2
}
trap cleanup EXIT

start() {
  log=$1
  shift
  "$@" >>"$run/$log.log" 2>&1 &
  last=$!
  disown "$last"
  pids+=("$last")
}

daemon_names=()
declare -A http_port rpc_port daemon_zone worker_port daemon_pid
index=0
zone_index=0
for zone in "${zones[@]}"; do
  for i in 0 1; do
    name=$zone-d$i
    daemon_names+=("$name")
    http_port[$name]=$((base + 10 + index))
    rpc_port[$name]=$((base + 30 + index))
    daemon_zone[$name]=$zone
    index=$((index + 1))
  done
  worker_port[$zone]=$((base + 100 + 10 * zone_index))
  zone_index=$((zone_index + 1))
done

# Writes the platform's VM list.
write_vms() {
  separator='{"vms":['
  for zone in "${zones[@]}"; do
    for i in 0 1; do
      name=$zone-d$i
      printf '%s{"name":"%s","role":"entry","address":"127.0.0.1","http_port":%d,"rpc_port":%d,"zone":"%s","rack":"%s-e","incarnation":1,"state":"live"}\n' \
        "$separator" "$name" "${http_port[$name]}" "${rpc_port[$name]}" \
        "$zone" "$zone"
      separator=,
    done
    for ((i = 0; i < workers; i++)); do
      printf ',{"name":"%s-w%d","role":"worker","address":"127.0.0.1","http_port":%d,"rpc_port":0,"zone":"%s","rack":"%s-r0","incarnation":1,"state":"live"}\n' \
        "$zone" "$i" $((worker_port[$zone] + i)) "$zone" "$zone"
    done
  done
  printf ']}\n'
}
write_vms >"$run/vms.json"

pairs=(--pair="cut:127.0.0.1:$((platform_port + relay))=127.0.0.1:$((platform_port + 2))")
for name in "${daemon_names[@]}"; do
  pairs+=(--pair="cut:127.0.0.1:$((rpc_port[$name] + relay))=127.0.0.1:${rpc_port[$name]}")
done

start_daemon() {
  name=$1
  port=$platform_port
  [ "${daemon_zone[$name]}" = "$cut_zone" ] && port=$((platform_port + relay))
  start "$name" "$build/rosemaryraild/rosemaryraild" \
    --set name="$name" --set region=r1 --set zone="${daemon_zone[$name]}" \
    --set http_port="${http_port[$name]}" --set rpc_port="${rpc_port[$name]}" \
    --set platform_address=127.0.0.1 --set platform_port=$port \
    --set chart_directory=charts --set drain_ms=500 \
    --set worker_report_ms=500 --set controller_lease_ms=4000 \
    --set task_lease_ms=6000
  daemon_pid[$name]=$last
}

start platform "$build/standins/rr-platform" --port=$platform_port \
  --vms="$run/vms.json" --behind-zone="$cut_zone" --relay-offset=$relay \
  --inside-port=$((platform_port + 2))
start relay "$build/standins/rr-relay" --control-port=$control_port "${pairs[@]}"
for zone in "${zones[@]}"; do
  start "workers-$zone" "$build/standins/rr-worker" \
    --first-port="${worker_port[$zone]}" --count=$workers \
    --name-prefix="$zone-w" --zone="$zone" --cores-milli=$cores \
    --memory-mb=$memory --work-speed=2000 --seed=7 \
    --log="$run/exec-$zone.jsonl"
done
for name in "${daemon_names[@]}"; do
  start_daemon "$name"
done

ctl="$build/rosemaryctl/rosemaryctl"
first=127.0.0.1:${http_port[${daemon_names[0]}]}
wait_for() {
  what=$1
  shift
  for _ in $(seq 1 100); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "timed out: $what" >&2
  return 1
}
wait_for "daemons start" curl -fs "http://$first/healthz"
sleep 2.5
"$ctl" apply --wait --daemon "$first" "examples/$deployment.jsonc" \
  scripts/demo-policy.jsonc || exit 1
sleep 2

# Load starts, then the failures: one daemon is killed, one frozen, one zone is
# cut off, and the platform is down for 10 s.
service=dossier-check
team=archive
[ "$deployment" = kamnik ] && service=furrow-check && team=planning
daemons=()
for name in "${daemon_names[@]}"; do
  daemons+=(--daemon=127.0.0.1:${http_port[$name]})
done
start load "$build/standins/rr-load" "${daemons[@]}" --service=$service \
  --requests=1000 --rate=35 --non-repeatable-pct=20 --duplicate-pct=10 \
  --timeout-ms=2000 --seed=11 --jobs=8 --tasks=5 --team=$team \
  --class=archive-scan --work-ms=1000000 --cores-milli=1000 --memory-mb=1024 \
  --job-interval-ms=1500 --log="$run/callers.jsonl"
load_pid=$last
control() { curl -fs -X POST -d "$2" "http://127.0.0.1:$1" >/dev/null; }
say() { printf '%3d s  %s\n' "$SECONDS" "$1"; }
sleep 3
victim=${daemon_names[1]}
kill -9 "${daemon_pid[$victim]}"; say "killed $victim"
sleep 3
start_daemon "$victim"; say "restarted $victim"
frozen=${daemon_names[2]}
kill -STOP "${daemon_pid[$frozen]}"; say "froze $frozen"
sleep 6
kill -CONT "${daemon_pid[$frozen]}"; say "resumed $frozen"
control "$control_port/groups/cut" '{"mode":"cut"}'; say "cut zone $cut_zone off"
sleep 5
control "$control_port/groups/cut" '{"mode":"pass"}'; say "healed zone $cut_zone"
sleep 1
control "$platform_port/faults" '{"down":true}'; say "platform down"
sleep 10
control "$platform_port/faults" '{"down":false}'; say "platform up"
while kill -0 "$load_pid" 2>/dev/null; do sleep 0.1; done
tail -n 12 "$run/load.log"
for _ in $(seq 1 80); do
  "$ctl" jobs --daemon "$first" --format json >"$run/jobs.json" 2>/dev/null
  grep -q '"stale": *\[ *\]' "$run/jobs.json" \
    && [ "$(tr -d ' \n' <"$run/jobs.json" \
      | grep -o ':load-j[0-9]*"[^}]*"state":"succeeded"' | wc -l)" = 8 ] \
    && break
  sleep 0.25
done
"$ctl" jobs --daemon "$first"
logs=(--log="$run/callers.jsonl")
for zone in "${zones[@]}"; do logs+=(--log="$run/exec-$zone.jsonl"); done
"$build/standins/rr-verify" "${logs[@]}"
verdict=$?
echo "logs: $run"
exit $verdict
