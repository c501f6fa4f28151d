# Functions for the session tests and the soak test of this folder.  They run a
# store, workers and entry daemons as separate processes on a loopback address
# of their own.  Daemons reach the store and the workers through a relay, which
# can cut, freeze or delay connections.
set -u
address=127.$((128 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))
work=$(mktemp -d)
build=${BUILD:?}
store_port=25001
relay_port=25002
declare -A pid worker_number
daemons=()
workers=()

finish() {
  for p in "${pid[@]}"; do
    kill -CONT "$p" 2>/dev/null
    kill -9 "$p" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept $work" >&2; else rm -rf "$work"; fi
}
trap finish EXIT

fail() {
  echo "FAILED: $1"
  KEEP=1
  exit 1
}

post() { curl -s -m 2 -o /dev/null -X POST -d "$2" "http://$address:$1"; }

store_put() {
  post "$store_port/standin/put" \
    "$(jq -cn --arg key "$1" --arg value "$2" '{key: $key, value: $value}')"
}

# The store's answers to watches have $watch_items changes, and its values
# $value_bytes at most, if these are set.
start_store() {
  "$build/standins/rr-kv" --address "$address" --port $store_port \
    ${watch_items:+--watch-items $watch_items} \
    ${value_bytes:+--value-bytes $value_bytes} \
    >>"$work/store.log" 2>&1 &
  pid[store]=$!
}

# start_relay DAEMONS WORKERS: starts a relay with one route from each daemon to
# the store (group dI) and one from all daemons to each worker (group wI).
start_relay() {
  local pairs=() i
  for i in $(seq "$1"); do
    pairs+=(--pair="d$i:$address:$((25100 + i))=$address:$store_port")
  done
  for i in $(seq "$2"); do
    pairs+=(--pair="w$i:$address:$((25300 + i))=$address:$((25400 + i))")
  done
  "$build/standins/rr-relay" --address "$address" --control-port $relay_port \
    "${pairs[@]}" >>"$work/relay.log" 2>&1 &
  pid[relay]=$!
}

relay_mode() { post "$relay_port/groups/$1" "{\"mode\":\"$2\"}"; }
relay_release() { post "$relay_port/groups/$1" '{"release":1}'; }
relay_delay() { post "$relay_port/groups/$1" "{\"delay_ms\":$2}"; }

# start_worker I: starts worker I, which registers the relay's port for it.
start_worker() {
  "$build/standins/rr-taskworker" --address "$address" \
    --port $((25400 + $1)) --listed-port $((25300 + $1)) --store $store_port \
    --id "w$1" --zone "z$(($1 % 2 + 1))" --log "$work/runs.$1.jsonl" \
    >>"$work/worker.$1.log" 2>&1 &
  pid[w$1]=$!
}

start_daemon() {
  local file="$work/d$1.jsonc"
  cat >"$file" <<SETTINGS
{"name": "d$1", "zone": "z$(($1 % 2 + 1))", "zones": ["z1", "z2"],
 "front": "$address:$((25500 + $1))", "ready": "$address:$((25600 + $1))",
 "metrics": "$address:$((25700 + $1))", "peer": "$address:$((25800 + $1))",
 "seeds": [${seeds:-}], "permits": "${permits:-}", "store": "$address:$((25100 + $1))",
 "lease_max_ms": 10000, "drain_ms": 2000,
 "cpu_share": 0.1, "link_mbps": 1000, "shutdown_s": 6,
 "value_max_bytes": ${value_bytes:-1048576},
 "retention_s": ${retention_s:-120}, "late_s": ${late_s:-60},
 "remote_factor": 3}
SETTINGS
  "$build/rosemaryentryd/rosemaryentryd" "$file" >>"$work/d$1.log" 2>&1 &
  pid[d$1]=$!
}

ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$address:$((25600 + $1))/-/readyz")" = 200 ]; }

# wait_for WHAT SECONDS COMMAND...: runs COMMAND until it succeeds; fails the
# test after SECONDS.
wait_for() {
  local what=$1 until=$((SECONDS + $2))
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || fail "timed out: $what"
    sleep 0.1
  done
}

# deploy DAEMONS WORKERS: starts all processes with a configuration of one
# queue, whose times of the permit service are $advice if that is set.  The
# number of shards is $layout if that is set, and the relay has
# routes to $worker_routes workers, which may start later.
deploy() {
  start_store
  start_relay "$1" "${worker_routes:-$2}"
  wait_for "the store" 20 curl -s -m 1 "http://$address:$store_port/-/kv-range?prefix=x"
  wait_for "the relay" 20 curl -s -m 1 "http://$address:$((25100 + 1))/-/kv-range?prefix=x"
  store_put op/config '{"version":1,"routes":[{"name":"q","host":"desk.example","prefix":"/q/","service":"desk","priority":0,"maxAttempts":4,"slackFactor":2,"targetRuntimeMs":500,"timeoutMs":3000'"${advice:+,\"advice\":$advice}"'}],"services":[{"name":"desk"}],"limits":{}}'
  [ -z "${layout:-}" ] || store_put rail/layout "{\"shards\":$layout,\"format\":${format:-2}}"
  local i
  for i in $(seq "$2"); do start_worker "$i"; done
  for i in $(seq "$1"); do start_daemon "$i"; done
  for i in $(seq "$1"); do wait_for "daemon $i" 30 ready "$i"; done
}

# find_owner: sets $owner and $other to the numbers of the two daemons.
find_owner() {
  wait_for "an owner" 8 grep -q event=shard_owned "$work/d1.log" "$work/d2.log"
  owner=1
  grep -q event=shard_owned "$work/d2.log" && owner=2
  other=$((3 - owner))
}

# request METHOD DAEMON ID [BODY]: sends a caller's request to a daemon and
# prints the response body and the status.
request() {
  curl -s -m 4 -w '\n%{http_code}' -X "$1" -H 'Host: desk.example' \
    -H 'Deadline-Ms: 3000' ${4:+-d "$4"} \
    "http://$address:$((25500 + $2))/q/$3" | tr '\n' ' '
}

# verify REJECTED: REJECTED is a file with the ids of jobs whose submissions
# were all rejected.  Prints every violation that the workers' logs show:
# - two runs of a task at the same time on workers that did not restart
#   meanwhile
# - a start of a task after one of its runs was done, if the owner of the shard
#   acknowledged that end, before the start or later
# - a start of a task of a rejected job
verify() {
  cat "$work"/runs.*.jsonl 2>/dev/null | jq -r '[.t, .vm, .event, .task, .run, .how] | @tsv' \
    | sort -s -n -k1,1 >"$work/runs.tsv"
  awk -F'\t' -v rejected="$1" '
    BEGIN { while ((getline line < rejected) > 0) bad[line] = 1 }
    NR == FNR { if ($3 == "noted" && $6 == "done") noted[$4, $5] = 1; next }
    $3 == "born" {
      for (k in running) { split(k, p, SUBSEP); if (p[2] == $2) delete running[k] }
      next
    }
    $3 == "start" {
      split($4, id, ".")
      if (id[1] in bad) print "start of a rejected job: " $4
      if (($4 in done) && ($4, done[$4]) in noted) print "start after the task was done: " $4 " run " $5
      for (k in running) { split(k, p, SUBSEP); if (p[1] == $4) print "two runs at once: " $4 " run " $5 " on " $2 " and run " running[k] " on " p[2] }
      running[$4, $2] = $5
    }
    $3 == "end" {
      delete running[$4, $2]
      if ($6 == "done" && !($4 in done)) done[$4] = $5
    }' "$work/runs.tsv" "$work/runs.tsv"
}
