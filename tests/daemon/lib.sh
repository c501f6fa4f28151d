# Library of the session tests in this folder.  A session starts a deployment of
# separate processes on loopback addresses, prints only facts that do not depend
# on timing and ends with the report of rr-verify.  run.sh compares the output
# with NAME.expected.
set -u

# The loopback address is derived from the process id, so that concurrent runs
# do not use the same address and port.
address=127.$((64 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))
work=$(mktemp -d)
build=${BUILD:?}
source=${SOURCE:?}
platform_port=24001
inside_port=24003
control_port=24002
relay=500
declare -A pid http_port rpc_port zone_of worker_port worker_zone incarnation \
  listed
daemons=()
workers=()
worker_logs=()
cut_zone=
daemon_settings=()
worker_flags=()
: >"$work/callers.jsonl"

finish() {
  for p in "${pid[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -9 "$p" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then
    echo "kept $work" >&2
  else
    rm -rf "$work"
  fi
}
trap finish EXIT

fail() {
  echo "FAILED: $1"
  echo "--- last log lines"
  tail -n 15 "$work"/*.log
  for d in "${daemons[@]}"; do
    curl -s -m 2 "$(http "$d")/v1/status" | jq -c '[.daemon,.generation,.alarms]'
  done
  exit 1
}

# wait_for WHAT COMMAND...: polls until COMMAND succeeds.  The timeout only ends
# a session that hangs; meson's timeout is longer.
wait_for() {
  local what=$1 until=$((SECONDS + ${WAIT_S:-40}))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || fail "timed out: $what"
    sleep 0.05
  done
}

not() { ! "$@"; }

# process NAME COMMAND...: starts a process, whose output goes to NAME.log.
process() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid[$name]=$!
  disown "$!"
}

# stand_in NAME PROGRAM FLAG...: starts a program of standins/.
stand_in() {
  local name=$1 program=$2
  shift 2
  process "$name" "$build/standins/$program" --address "$address" \
    --max-run-s 120 "$@"
}

http() { echo "http://$address:${http_port[$1]}"; }

# get NAME PATH: prints the body of a GET response of daemon NAME.
# control PORT/PATH BODY: sends a POST request to a stand-in.
get() { curl -s -m 5 "$(http "$1")$2"; }
control() { curl -fs -m 5 -X POST -d "$2" "http://$address:$1" >/dev/null; }
platform() { control "$platform_port/$1" "${2:-{\}}"; }
relay() { control "$control_port/groups/cut" "{\"mode\":\"$1\"}"; }
worker() { control "${worker_port[$1]}/control" "$2"; }
freeze() { kill -STOP "${pid[$1]}"; }
thaw() { kill -CONT "${pid[$1]}"; }
ended() { ! kill -0 "$1" 2>/dev/null; }
kill_daemon() {
  kill -9 "${pid[$1]}"
  wait_for "$1 ends" ended "${pid[$1]}"
}

# Writes the platform's VM list with all daemons and workers.
list_vms() {
  local name separator=
  {
    printf '{"vms":['
    for name in "${daemons[@]}"; do
      printf '%s{"name":"%s","role":"entry","address":"%s","http_port":%d,"rpc_port":%d,"zone":"%s","rack":"%s-e","incarnation":1,"state":"live"}' \
        "$separator" "$name" "$address" "${http_port[$name]}" \
        "${rpc_port[$name]}" "${zone_of[$name]}" "${zone_of[$name]}"
      separator=,
    done
    for name in "${workers[@]}"; do
      printf '%s{"name":"%s","role":"worker","address":"%s","http_port":%d,"rpc_port":0,"zone":"%s","rack":"%s-r","incarnation":%d,"state":"%s"}' \
        "$separator" "$name" "$address" "${worker_port[$name]}" \
        "${worker_zone[$name]}" "${worker_zone[$name]}" \
        "${incarnation[$name]}" "${listed[$name]}"
    done
    printf ']}\n'
  } >"$work/vms.new"
  mv "$work/vms.new" "$work/vms.json"
}

start_daemon() {
  local port=$platform_port
  [ "${zone_of[$1]}" = "$cut_zone" ] && port=$((platform_port + relay))
  process "$1" "$build/rosemaryraild/rosemaryraild" \
    --set name="$1" --set region=r1 --set zone="${zone_of[$1]}" \
    --set http_address="$address" --set http_port="${http_port[$1]}" \
    --set rpc_address="$address" --set rpc_port="${rpc_port[$1]}" \
    --set platform_address="$address" --set platform_port="$port" \
    --set chart_directory="$source/charts" --set drain_ms=500 \
    --set heartbeat_zone_ms=300 --set heartbeat_remote_ms=500 \
    --set peer_timeout_zone_ms=2000 --set peer_timeout_remote_ms=3000 \
    --set worker_report_ms=300 --set controller_lease_ms=3000 \
    --set task_lease_ms=4000 --set vm_list_ms=300 \
    --set platform_timeout_ms=1000 "${daemon_settings[@]}" "${@:2}"
}

# deploy "ZONE..." DAEMONS WORKERS: starts the platform and, in each zone, the
# given numbers of daemons and workers, then applies the configuration.  If
# cut_zone is set, a relay that can block connections is between that zone on
# one side and the platform and the daemons of the other zones on the other.
deploy() {
  local zone i name index=0 pairs=()
  for zone in $1; do
    for ((i = 0; i < $2; i++)); do
      name=$zone-d$i
      daemons+=("$name")
      zone_of[$name]=$zone
      http_port[$name]=$((24010 + index))
      rpc_port[$name]=$((24030 + index))
      pairs+=(--pair="cut:$address:$((rpc_port[$name] + relay))=$address:${rpc_port[$name]}")
      index=$((index + 1))
    done
    for ((i = 0; i < $3; i++)); do
      name=$zone-w$i
      workers+=("$name")
      worker_zone[$name]=$zone
      worker_port[$name]=$((24100 + ${#workers[@]}))
      incarnation[$name]=1
      listed[$name]=live
    done
    worker_logs+=("$work/exec-$zone.jsonl")
    stand_in "workers-$zone" rr-worker \
      --first-port "$((24101 + ${#workers[@]} - $3))" --count "$3" \
      --name-prefix "$zone-w" --zone "$zone" --seed 7 \
      --usage-lag-ms 500 --log "$work/exec-$zone.jsonl" "${worker_flags[@]}"
  done
  list_vms
  if [ -n "$cut_zone" ]; then
    stand_in relay rr-relay --control-port $control_port "${pairs[@]}" \
      --pair="cut:$address:$((platform_port + relay))=$address:$inside_port"
    stand_in platform rr-platform --port $platform_port \
      --vms "$work/vms.json" --behind-zone "$cut_zone" \
      --relay-offset $relay --inside-port $inside_port
  else
    stand_in platform rr-platform --port $platform_port --vms "$work/vms.json"
  fi
  wait_for "platform starts" curl -fs "http://$address:$platform_port/stats"
  for name in "${daemons[@]}"; do start_daemon "$name"; done
  for name in "${daemons[@]}"; do
    wait_for "$name starts" curl -fs "$(http "$name")/healthz"
  done
  wait_for "owners of all shards" owned
  # Placement uses only zones whose free capacity is known.
  for name in "${daemons[@]}"; do
    wait_for "$name sees all workers" status "$name" --argjson n ${#workers[@]} \
      '(.daemons | map(.workers) | add) == $n'
  done
  wait_for "configuration" apply "${daemons[0]}" "$source/tests/daemon/${CONFIG:-session.jsonc}"
  wait_for "services" services_running
}

ctl() { "$build/rosemaryctl/rosemaryctl" "$@"; }
apply() { ctl apply --daemon "$address:${http_port[$1]}" "${@:2}"; }

# status NAME FILTER...: applies a jq filter to the daemon's status.  The exit
# code is that of jq -e: 0 if the result is neither false nor null.
status() { get "$1" /v1/status | jq -e "${@:2}"; }

# owned [NAME [EXCEPT]]: succeeds if every shard has an owner other than EXCEPT.
owned() {
  status "${1:-${daemons[0]}}" --arg except "${2:-}" \
    'all(.shards[]; .owner != "" and .owner != $except)'
}

# Succeeds if all instances of all configured services are running.
services_running() {
  get "${1:-${daemons[0]}}" /v1/jobs \
    | jq -e '.stale == [] and (.jobs | map(select(.kind == "service")) |
             length > 0 and all(.[]; .running == .tasks))'
}

# metric NAME METRIC: prints the value of a metric of daemon NAME.
metric() {
  get "$1" /metrics | sed -n "s/^rosemaryrail_$2 //p"
}
# metric_at_least NAME METRIC [MIN]: succeeds if the metric is at least MIN,
# which defaults to 1.
metric_at_least() { [ "$(metric "$1" "$2")" -ge "${3:-1}" ]; }

# job ID [NAME]: prints the job's state.
job() { get "${2:-${daemons[0]}}" "/v1/jobs/$1" | jq -r '.state // "?"'; }
job_is() { [ "$(job "$1" "${3:-${daemons[0]}}")" = "$2" ]; }
running() { get "${3:-${daemons[0]}}" "/v1/jobs/$1" | jq -e --argjson n "$2" '.running == $n'; }

# logged FILTER: succeeds if a line of the execution logs satisfies the jq
# filter.
logged() { cat "${worker_logs[@]}" | jq -e -n "any(inputs; $1)"; }
count_logged() { cat "${worker_logs[@]}" | jq -n "[inputs | select($1)] | length"; }

# load NAME FLAG...: runs rr-load against daemon NAME and prints its nonzero
# counts.
load() {
  local d=$1
  shift
  "$build/standins/rr-load" --daemon "$address:${http_port[$d]}" \
    --max-run-s 60 --log "$work/callers.jsonl" "$@" \
    | grep "^${PRINT:-requests}" | sed -E ':a;s/ [a-z_]+=0\b//;ta'
}

# one NAME ID true|false [FLAG...]: sends one request, repeatable or not.
one() {
  local pct=0
  [ "$3" = false ] && pct=100
  load "$1" --requests 1 --rate 1000 --id-prefix "$2" \
    --non-repeatable-pct $pct "${@:4}"
}

# submit NAME ID TASKS [FLAG...]: submits a job called batch:ID-j0.
submit() {
  PRINT=jobs load "$1" --jobs 1 --id-prefix "$2" --tasks "$3" --team batch \
    --class scan "${@:4}"
}

# Prints the report of rr-verify without the counts of events, which depend on
# timing.
verify() {
  local logs=() l
  for l in "${worker_logs[@]}" "$work/callers.jsonl"; do logs+=(--log "$l"); done
  "$build/standins/rr-verify" "${logs[@]}" | grep -v '^events\|^rule'
}
