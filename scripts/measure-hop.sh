#!/bin/bash
# Measures the cost of the hop: a bare h2o handler, an upstream asked directly
# and a daemon in front of that upstream, each on one core, in one run.
# Usage: measure-hop.sh [SECONDS]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-5}
build=${BUILD:-build}
base=${RR_BASE_PORT:-17000}
run=$(mktemp -d "${TMPDIR:-/tmp}/rr-hop.XXXXXX")
pids=()
cleanup() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; }
trap cleanup EXIT
start() {
  log=$1
  shift
  "$@" >"$run/$log.log" 2>&1 &
  pids+=("$!")
  disown "$!"
}
start bare "$build/bench/rr-hop" --serve=$((base + 1))
cat >"$run/vms.json" <<VMS
{"vms":[
{"name":"d0","role":"entry","address":"127.0.0.1","http_port":$((base + 10)),"rpc_port":$((base + 20)),"zone":"z1","rack":"e","incarnation":1,"state":"live"},
{"name":"w0","role":"worker","address":"127.0.0.1","http_port":$((base + 30)),"rpc_port":0,"zone":"z1","rack":"r0","incarnation":1,"state":"live"}]}
VMS
start platform "$build/standins/rr-platform" --port=$((base + 2)) --vms="$run/vms.json"
start worker "$build/standins/rr-worker" --first-port=$((base + 30)) --count=1 \
  --name-prefix=w --zone=z1 --connections=1024 --service-us=1
start d0 "$build/rosemaryraild/rosemaryraild" --set name=d0 --set region=r1 \
  --set zone=z1 --set http_port=$((base + 10)) --set rpc_port=$((base + 20)) \
  --set platform_address=127.0.0.1 --set platform_port=$((base + 2)) \
  --set chart_directory=charts --set log_level=warn
cat >"$run/config.jsonc" <<CONFIG
{"teams":[{"name":"desk","cores_milli":64000,"memory_mb":200000,"weight":1,"requests_per_s":1000000}],
 "limits":{"requests_per_s":1000000},
 "services":[{"name":"check","class":"quick","team":"desk","instances":1,
  "cores_milli":1000,"memory_mb":1000,"deadline_ms":5000,"concurrency":64}]}
CONFIG
sleep 3.5
"$build/rosemaryctl/rosemaryctl" apply --daemon "127.0.0.1:$((base + 10))" "$run/config.jsonc" >"$run/apply.log"
sleep 2
hop() { "$build/bench/rr-hop" --seconds="$seconds" "$@"; }
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
echo "bare h2o handler    $(hop --target=127.0.0.1:$((base + 1)))"
echo "upstream directly   $(hop --target=127.0.0.1:$((base + 30)))"
[ -z "${HOP_PROFILE:-}" ] || perf record -g -o "$run/perf.data" -p "${pids[3]}" -- sleep 3 >/dev/null 2>&1 &
before=$(cpu "${pids[3]}")
through=$(hop --target=127.0.0.1:$((base + 10)))
after=$(cpu "${pids[3]}")
echo "through the daemon  $through"
echo "daemon's processor time: $((after - before)) ticks in $seconds s"
half=$(echo "$through" | sed 's/per_s=\([0-9]*\).*/\1/')
half=$((half / 2))
echo "at half that load, $half per second:"
echo "upstream directly   $(hop --rate=$half --target=127.0.0.1:$((base + 30)))"
echo "through the daemon  $(hop --rate=$half --target=127.0.0.1:$((base + 10)))"
