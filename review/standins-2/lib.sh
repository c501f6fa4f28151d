# Functions for the scripts in review/6 to review/10.  A script sources this
# file from its own folder.  It runs the daemons with the command of the deploy
# file, on a loopback address of its own, against stand-ins that
# review/build-2.sh builds.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
trouble=${TROUBLE:-1}
record=$case_dir/record.txt
work=$(mktemp -d)
store_port=25001
# An address on which nobody listens.
until
  address=127.$((64 + RANDOM % 64)).$((1 + RANDOM % 250)).$((1 + RANDOM % 250))
  ! (exec 3<>"/dev/tcp/$address/$store_port") 2>/dev/null
do :; done
daemon_program=$root/$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/system.toml")
declare -A pid
: >"$record"

# note TEXT...: writes a line to the record.
note() { printf '%s %s\n' "$(date +%s.%3N)" "$*" >>"$record"; }

finish() {
  for p in "${pid[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -9 "$p" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept $work" >&2; else rm -rf "$work"; fi
}
trap finish EXIT

cant_run() {
  note "could not run: $1"
  echo "could not run: $1"
  exit 2
}

for program in "$daemon_program" "$root/target/standins/rr-kv" \
  "$root/target/review-2/rv-worker"; do
  [ -x "$program" ] || cant_run "$program is not built"
done

# wait_for WHAT SECONDS COMMAND...: runs COMMAND until it succeeds.
wait_for() {
  local what=$1 until=$((SECONDS + $2))
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || cant_run "timed out: $what"
    sleep 0.05
  done
}

start_store() {
  "$root/target/standins/rr-kv" --address "$address" --port $store_port \
    >>"$work/store.log" 2>&1 &
  pid[store]=$!
  wait_for "the store" 10 \
    curl -s -m 1 "http://$address:$store_port/-/kv-range?prefix=x"
}

store_put() {
  curl -s -m 2 -o /dev/null -X POST \
    -d "$(jq -cn --arg key "$1" --arg value "$2" '{key: $key, value: $value}')" \
    "http://$address:$store_port/standin/put"
}

# start_worker ID KIND CORES PORT ZONE RACK [GPUS]
start_worker() {
  "$root/target/review-2/rv-worker" --address "$address" --port "$4" \
    --store $store_port --id "$1" --kind "$2" --cores "$3" --zone "$5" \
    --rack "$6" --gpus "${7:-0}" --log "$work/runs.$1.jsonl" >>"$work/$1.log" 2>&1 &
  pid[$1]=$!
}

# kill_worker ID: the worker crashes.
kill_worker() {
  kill -9 "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null
  unset "pid[$1]"
}

# start_daemon I ZONE: starts daemon I, which calls the store at STORE (by
# default the store itself).
start_daemon() {
  local file=$work/d$1.jsonc
  cat >"$file" <<SETTINGS
{"name": "d$1", "zone": "$2", "zones": ["z1", "z2", "z3"],
 "front": "$address:$((25500 + $1))", "ready": "$address:$((25600 + $1))",
 "metrics": "$address:$((25700 + $1))", "peer": "$address:$((25800 + $1))",
 "seeds": [], "store": "$address:${STORE:-$store_port}",
 "permits": "${advice_port:+$address:$advice_port}",
 "config_apply_ms": 2000, "log_level": "info", "lease_max_ms": 10000,
 "drain_ms": 2000, "cpu_share": ${cpu_share:-0.1}, "link_mbps": ${link_mbps:-1000}, "shutdown_s": 6,
 "retention_s": 120, "late_s": 60, "remote_factor": 3}
SETTINGS
  ROSEMARYRAIL_SETTINGS=$file "$daemon_program" >>"$work/d$1.log" 2>&1 &
  pid[d$1]=$!
}

ready() {
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
    "http://$address:$((25600 + $1))/-/readyz")" = 200 ]
}

# request METHOD DAEMON ID [BODY]: sends a client's request, records it, and
# sets STATUS and ANSWER.
request() {
  ANSWER=$(curl -s -m 4 -w '\n%{http_code}' -X "$1" -H 'Host: desk.example' \
    -H 'Content-Type: application/json' -H 'Deadline-Ms: 3000' \
    ${4:+-d "$4"} "http://$address:$((25500 + $2))/q/$3")
  STATUS=${ANSWER##*$'\n'}
  ANSWER=${ANSWER%$'\n'*}
  note "client: $1 $3 at d$2${4:+ $4} -> $STATUS $ANSWER"
}

# record_runs: copies the workers' logs to the record, in order of time.
record_runs() {
  cat "$work"/runs.*.jsonl 2>/dev/null | jq -cs 'sort_by(.t)[]' >"$work/runs"
  sed 's/^/worker: /' "$work/runs" >>"$record"
}
