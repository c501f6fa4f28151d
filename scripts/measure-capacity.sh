#!/bin/bash
# Measures what a daemon and the platform spend at several sizes, on loopback
# with rr-platform and rr-worker, and fits slopes by least squares.
# Usage: measure-capacity.sh [--repetitions N] [--seconds N] [GROUP]...
# Groups: daemons workers vms tasks starts requests full (default: all).
# Groups run side by side, their points one after another.
# Environment: BUILD (build), RR_BASE_PORT (28000), OUTPUT (a new directory).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
base_port=${RR_BASE_PORT:-28000}
repetitions=3
seconds=15
groups=()
while [ $# -gt 0 ]; do
  case $1 in
    --repetitions) repetitions=$2; shift ;;
    --seconds) seconds=$2; shift ;;
    daemons | workers | vms | tasks | starts | requests | full) groups+=("$1") ;;
    *) echo "unknown argument: $1" >&2; exit 2 ;;
  esac
  shift
done
[ ${#groups[@]} -gt 0 ] || groups=(daemons workers vms tasks starts requests full)
out=${OUTPUT:-$(mktemp -d "${TMPDIR:-/tmp}/rr-capacity.XXXXXX")}
mkdir -p "$out"

# An address of its own, so that runs on one machine don't collide on ports.
address=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1)).1

settle=10        # s until shards and workers have owners and heartbeats settle
segment_bytes=52 # IPv4 header 20, TCP header 20, timestamps 12
tick_ms=$((1000 / $(getconf CLK_TCK)))

pids=()
# A daemon that loses the platform during its shutdown may not end by itself.
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 1 80); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$pid" 2>/dev/null && echo "killed $pid of $run" >&2
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

start() {
  log=$1
  shift
  "$@" >>"$run/$log.log" 2>&1 &
  last=$!
  pids+=("$last")
}

# deploy DAEMONS WORKERS LISTED: two daemons in a zone, workers spread over the
# zones; LISTED further workers stand only in the VM list, as leaving VMs.
deploy() {
  daemons=$1
  zones=$(((daemons + 1) / 2))
  per_zone=$(($2 / zones))
  run=$out/$group-$size-$repetition
  mkdir -p "$run"
  daemon_pids=()
  {
    separator='{"vms":['
    for ((i = 0; i < daemons; i++)); do
      printf '%s{"name":"d%d","role":"entry","address":"%s","http_port":%d,"rpc_port":%d,"zone":"z%d","rack":"e%d","incarnation":1,"state":"live"}' \
        "$separator" $i $address $((base + 10 + i)) $((base + 40 + i)) $((i / 2)) $((i / 2))
      separator=,
    done
    for ((z = 0; z < zones; z++)); do
      for ((i = 0; i < per_zone; i++)); do
        printf ',{"name":"z%d-w%d","role":"worker","address":"%s","http_port":%d,"rpc_port":0,"zone":"z%d","rack":"z%d-r%d","incarnation":1,"state":"live"}' \
          $z $i $address $((base + 100 + z * per_zone + i)) $z $z $((i / 8))
      done
    done
    for ((i = 0; i < $3; i++)); do
      printf ',{"name":"listed-w%d","role":"worker","address":"%s","http_port":1,"rpc_port":0,"zone":"other","rack":"other-r%d","incarnation":1,"state":"leaving"}' \
        $i $address $((i / 8))
    done
    echo ']}'
  } >"$run/vms.json"
  start platform "$build/standins/rr-platform" --address=$address --port=$((base + 1)) \
    --vms="$run/vms.json" --max-run-s=900
  platform_pid=$last
  for ((z = 0; z < zones; z++)); do
    start "workers-$z" "$build/standins/rr-worker" \
      --address=$address \
      --first-port=$((base + 100 + z * per_zone)) --count=$per_zone \
      --name-prefix="z$z-w" --zone="z$z" --max-run-s=900
  done
  for ((i = 0; i < daemons; i++)); do
    start "d$i" "$build/rosemaryraild/rosemaryraild" \
      --set name="d$i" --set region=r1 --set zone="z$((i / 2))" \
      --set http_port=$((base + 10 + i)) --set rpc_port=$((base + 40 + i)) \
      --set http_address=$address --set rpc_address=$address \
      --set platform_address=$address --set platform_port=$((base + 1)) \
      --set chart_directory=charts --set drain_ms=0
    daemon_pids+=("$last")
  done
  front=$address:$((base + 10))
  sleep 4
  cat >"$run/config.jsonc" <<'CONFIG'
{"teams": [{"name": "batch", "cores_milli": 900000000, "memory_mb": 900000000},
           {"name": "checks", "cores_milli": 900000000, "memory_mb": 900000000}],
 "services": [{"name": "check", "class": "quick", "team": "checks", "instances": 8,
   "cores_milli": 100, "memory_mb": 16, "deadline_ms": 2000}]}
CONFIG
  "$build/rosemaryctl/rosemaryctl" apply --wait --daemon $front \
    "$run/config.jsonc" >"$run/apply.out"
}

# Totals since start of each connection of this group's ports:
# PID LOCAL PEER BYTES SEGMENTS
connections() {
  ss -tinpHO "( src $address or dst $address ) and ( ( sport ge :$base and sport lt :$((base + 400)) ) or ( dport ge :$base and dport lt :$((base + 400)) ) )" \
    | awk '{
      pid = bytes = segments = 0
      if (match($0, /pid=[0-9]+/)) pid = substr($0, RSTART + 4, RLENGTH - 4)
      if (match($0, /bytes_sent:[0-9]+/)) bytes += substr($0, RSTART + 11, RLENGTH - 11)
      if (match($0, /bytes_received:[0-9]+/)) bytes += substr($0, RSTART + 15, RLENGTH - 15)
      if (match($0, /segs_out:[0-9]+/)) segments += substr($0, RSTART + 9, RLENGTH - 9)
      if (match($0, /segs_in:[0-9]+/)) segments += substr($0, RSTART + 8, RLENGTH - 8)
      sub(/.*:/, "", $4); sub(/.*:/, "", $5)
      print pid, $4, $5, bytes, segments }'
}

# Processor ticks and resident KB of a process.
usage() {
  awk '{printf "%d ", $14 + $15}' "/proc/$1/stat"
  awk '{print $2 * 4}' "/proc/$1/statm"
}

# One line for each value: NAME NUMBER
snapshot() {
  date +'time_ms %s%3N'
  for i in "${!daemon_pids[@]}"; do
    usage "${daemon_pids[$i]}" | awk -v n="$i" '{print "cpu." n, $1; print "rss." n, $2}'
  done
  usage "$platform_pid" | awk '{print "platform_cpu", $1; print "platform_rss", $2}'
  curl -s "http://$address:$((base + 1))/stats" | tr -d '{}" ' | tr ',:' '\n ' \
    | sed 's/^/stats./'
  curl -s "http://$front/metrics" | awk '/^rosemaryrail_[a-z_]* [0-9]/ {print $1, $2}'
}

# Writes one row: group, size, repetition and the mean rates of a daemon.
measure() {
  for pid in "$platform_pid" "${daemon_pids[@]}"; do
    kill -0 "$pid" || { echo "a process of $run ended" >&2; exit 1; }
  done
  snapshot >"$run/before"
  connections >"$run/connections.before"
  sleep "$seconds"
  connections >"$run/connections.after"
  snapshot >"$run/after"
  awk -v group="$group" -v size="$size" -v repetition="$repetition" \
    -v tick="$tick_ms" -v header="$segment_bytes" -v daemons="$daemons" \
    -v pids="${daemon_pids[*]}" -v base="$base" '
    BEGIN { n = split(pids, list, " "); for (i = 1; i <= n; i++) own[list[i]] = 1 }
    FILENAME ~ /connections.before$/ { old[$1 " " $2 " " $3] = $4; old_segments[$1 " " $2 " " $3] = $5; next }
    FILENAME ~ /connections.after$/ {
      if (!($1 in own)) next
      key = $1 " " $2 " " $3
      total = $4 - old[key] + header * ($5 - old_segments[key])
      delete old[key]
      if ($3 == base + 1) to_platform += total
      else if ($3 >= base + 100 && $3 < base + 400) to_workers += total
      else if ($2 >= base + 10 && $2 < base + 40) to_callers += total
      else to_peers += total
      next }
    FILENAME ~ /before$/ { b[$1] = $2; next }
    { a[$1] = $2 }
    function rate(name) { return (a[name] - b[name]) / s }
    END {
      for (key in old) { split(key, p, " "); if ((p[1] in own) && !(p[2] >= base + 10 && p[2] < base + 40)) closed++ }
      s = (a["time_ms"] - b["time_ms"]) / 1000
      for (i = 0; i < daemons; i++) { cpu += rate("cpu." i) * tick / 10 / daemons; rss += a["rss." i] / 1024 / daemons }
      writes = rate("stats.put"); reads = rate("stats.get") + rate("stats.vms"); watches = rate("stats.watch")
      printf "%s\t%s\t%s\t%.3f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.1f\t%.2f\t%d\n", group, size, repetition, cpu, rss,
        writes, reads, watches, to_platform / s / daemons, to_workers / s / daemons, to_peers / s / daemons, to_callers / s / daemons,
        rate("platform_cpu") * tick / 10, a["platform_rss"] / 1024, rate("rosemaryrail_tasks_started_total"), closed
    }' "$run/connections.before" "$run/connections.after" "$run/before" \
    "$run/after" >>"$out/$group.rows"
}

submit() { # ID TASKS WORK_MS URGENT
  curl -s -o /dev/null -X POST -d "{\"id\":\"$1\",\"team\":\"batch\",\"class\":\"scan\",\"tasks\":$2,\"cores_milli\":100,\"memory_mb\":16,\"work_ms\":$3,\"urgent\":$4}" \
    "http://$front/v1/jobs"
}

# Time in ms from submission of an urgent task until a daemon reports it as
# running, polled every 20 ms; "late" after 10 s.
time_urgent() {
  begin=$(date +%s%3N)
  submit "urgent-$1" 1 60000 true
  while [ $(($(date +%s%3N) - begin)) -lt 10000 ]; do
    if curl -s "http://$front/v1/jobs/urgent-$1" | grep -q '"running":1'; then
      echo "$group $size $repetition urgent $(($(date +%s%3N) - begin))" >>"$out/$group.times"
      return
    fi
    sleep 0.02
  done
  echo "$group $size $repetition urgent late" >>"$out/$group.times"
}

# Time in ms until an applied change is confirmed by all daemons.
time_apply() {
  sed "s/\"instances\": 8/\"instances\": $((8 + $1))/" "$run/config.jsonc" >"$run/changed.jsonc"
  begin=$(date +%s%3N)
  "$build/rosemaryctl/rosemaryctl" apply --wait --daemon "$front" \
    "$run/changed.jsonc" >"$run/apply-$1.out" || return 0
  echo "$group $size $repetition apply $(($(date +%s%3N) - begin))" >>"$out/$group.times"
}

load() { # REQUESTS_PER_S JOBS_PER_S
  count=$((settle + seconds + 4))
  [ "$1" = 0 ] || start load "$build/standins/rr-load" --daemon="$front" \
    --service=check --requests=$(($1 * count)) --rate="$1" \
    --non-repeatable-pct=0 --timeout-ms=2000
  [ "$2" = 0 ] || start jobs "$build/standins/rr-load" --daemon="$front" \
    --jobs=$(($2 * count)) --job-interval-ms=$((1000 / $2)) --tasks=1 \
    --team=batch --class=scan --work-ms=1000 --cores-milli=100 --memory-mb=16
}

point() {
  case $group in
    daemons) deploy "$size" 16 0; sleep $settle; measure
      for i in 1 2 3; do time_apply $i; done ;;
    workers) deploy 1 "$size" 0; sleep $settle; measure ;;
    vms) deploy 1 8 "$size"; sleep $settle; measure ;;
    tasks) deploy 1 56 0; [ "$size" = 0 ] || submit long "$size" 3600000 false
      sleep $settle; measure ;;
    starts) deploy 1 28 0; load 0 "$size"; sleep $settle; measure
      for i in 1 2 3 4 5; do time_urgent $i; done ;;
    # 8 workers have 64 slots: room at size 20, none at size 300.
    full) deploy 1 8 0; submit long "$size" 3600000 false
      sleep $settle; measure; time_urgent 1 ;;
    requests) deploy 1 28 0; load "$size" 0; sleep $settle; measure ;;
  esac
  cleanup
}

run_group() {
  group=$1
  base=$2
  trap cleanup EXIT
  case $group in
    daemons) sizes="1 4 8 16" ;;
    workers) sizes="8 28 56 112" ;;
    vms) sizes="0 100 300 660" ;;
    tasks) sizes="0 100 200 400" ;;
    starts) sizes="0 2 5 10" ;;
    full) sizes="20 300" ;;
    requests) sizes="0 50 100 200" ;;
  esac
  for ((repetition = 1; repetition <= repetitions; repetition++)); do
    for size in $sizes; do point; done
  done
}

# Mean, range and least-squares line of each column against the size.
fit() {
  awk -F '\t' '
    BEGIN { split("cpu_% rss_MB writes/s reads/s watches/s platform_B/s workers_B/s peers_B/s callers_B/s platform_cpu_% platform_rss_MB starts/s closed", names, " ") }
    { n++; x = $2; sx += x; sxx += x * x
      if (!(x in seen)) { seen[x] = 1; order[++sizes] = x }
      for (c = 1; c <= 13; c++) { v = $(c + 3); sy[c] += v; sxy[c] += x * v; syy[c] += v * v
        sum[c, x] += v; count[c, x]++
        if (count[c, x] == 1 || v < low[c, x]) low[c, x] = v
        if (count[c, x] == 1 || v > high[c, x]) high[c, x] = v } }
    END {
      printf "%-16s", "size"; for (i = 1; i <= sizes; i++) printf " %24s", order[i]
      printf " %12s %12s %6s\n", "intercept", "slope", "r2"
      for (c = 1; c <= 13; c++) {
        printf "%-16s", names[c]
        for (i = 1; i <= sizes; i++) { x = order[i]
          printf " %24s", sprintf("%.2f [%.2f,%.2f]", sum[c, x] / count[c, x], low[c, x], high[c, x]) }
        d = n * sxx - sx * sx; slope = d ? (n * sxy[c] - sx * sy[c]) / d : 0
        e = n * syy[c] - sy[c] * sy[c]
        printf " %12.4f %12.5f %6.3f\n", (sy[c] - slope * sx) / n, slope, d && e ? slope * slope * d / e : 0
      } }' "$1"
}

workers=()
index=0
for group in "${groups[@]}"; do
  run_group "$group" $((base_port + 400 * index)) &
  workers+=("$!")
  index=$((index + 1))
done
trap 'for pid in "${workers[@]}"; do kill "$pid" 2>/dev/null || true; done; wait' EXIT
status=0
for pid in "${workers[@]}"; do wait "$pid" || status=1; done
trap - EXIT
echo "machine: $(nproc) processors, $(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -1), $(uname -sr); $repetitions repetitions of $seconds s; mean [least,most]"
for group in "${groups[@]}"; do
  echo "== $group"
  [ -f "$out/$group.rows" ] && fit "$out/$group.rows"
  [ ! -f "$out/$group.times" ] || awk '{k = $4 " at size " $2; n[k]++; if ($5 == "late") late[k]++; else {s[k] += $5; if ($5 > m[k]) m[k] = $5}}
    END {for (k in n) printf "%s: %d runs, %d over 10 s, mean %.0f ms, most %d ms\n", k, n[k], late[k], n[k] > late[k] ? s[k] / (n[k] - late[k]) : 0, m[k]}' "$out/$group.times" | sort -V
done
echo "rows: $out"
exit $status
