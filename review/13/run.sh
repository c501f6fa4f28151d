#!/bin/bash
# Case 13, rule BUDGET: jobs whose tasks always fail, in a queue with 4
# attempts, while the owner of the shard is stopped as planned and the next
# owner is then cut off from the store.  Three daemons and ten workers on a
# loopback address; daemons reach the store through a relay.  The deployment is
# not new: before the jobs come, the owner was stopped and started five times.
# TROUBLE=0: nobody is stopped or cut off once the jobs have come.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/13/record.txt
trouble=${TROUBLE:-1}
address=127.$((64 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))
work=$(mktemp -d)
store=25001 relay=25002
daemons=3 workers=10 jobs=8 attempts=4
declare -A pid
: >"$record"

finish() {
  for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
say() { echo "$(date +%s.%3N) $*" >>"$record"; }
cannot() { say "could not run: $1"; echo "could not run: $1"; exit 2; }
post() { curl -s -m 2 -o /dev/null -X POST -d "$2" "http://$address:$1"; }
wait_for() { # WHAT SECONDS COMMAND...
  local what=$1 until=$((SECONDS + $2))
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || cannot "$what"
    sleep 0.05
  done
}
request() { # METHOD DAEMON ID [BODY]
  curl -s -m 4 -w ' %{http_code}' -X "$1" -H 'Host: desk.example' \
    -H 'Deadline-Ms: 3000' ${4:+-d "$4"} \
    "http://$address:$((25500 + $2))/q/$3"
}

for program in rosemaryentryd/rosemaryentryd standins/rr-kv standins/rr-relay \
  standins/rr-taskworker; do
  [ -x "target/$program" ] || cannot "target/$program is missing"
done

target/standins/rr-kv --address "$address" --port $store >"$work/store.log" 2>&1 &
pid[store]=$!
pairs=()
for i in $(seq $daemons); do
  pairs+=("--pair=d$i:$address:$((25100 + i))=$address:$store")
done
target/standins/rr-relay --address "$address" --control-port $relay \
  "${pairs[@]}" >"$work/relay.log" 2>&1 &
pid[relay]=$!
wait_for "the store" 10 curl -s -m 1 "http://$address:25101/-/kv-range?prefix=x"
post "$store/standin/put" "$(jq -cn --arg value '{"version":1,"routes":[{"name":"q","host":"desk.example","prefix":"/q/","service":"desk","priority":0,"maxAttempts":'$attempts',"slackFactor":2,"targetRuntimeMs":500,"timeoutMs":3000}],"services":[{"name":"desk"}],"limits":{}}' \
  '{key: "op/config", value: $value}')"
for i in $(seq $workers); do
  target/standins/rr-taskworker --address "$address" --port $((25400 + i)) \
    --store $store --id "w$i" --zone "z$(((i - 1) % 2 + 1))" \
    --log "$work/runs.$i.jsonl" >"$work/worker.$i.log" 2>&1 &
  pid[w$i]=$!
done
start_daemon() {
  local i=$1
  cat >"$work/d$i.jsonc" <<SETTINGS
{"name": "d$i", "zone": "z$(((i - 1) % 2 + 1))", "zones": ["z1", "z2"],
 "front": "$address:$((25500 + i))", "ready": "$address:$((25600 + i))",
 "metrics": "$address:$((25700 + i))", "peer": "$address:$((25800 + i))",
 "seeds": [], "permits": "", "store": "$address:$((25100 + i))",
 "config_apply_ms": 2000, "lease_max_ms": 10000, "drain_ms": 2000,
 "cpu_share": 0.1, "link_mbps": 1000, "shutdown_s": 6, "retention_s": 120,
 "late_s": 60, "value_max_bytes": 1048576, "remote_factor": 3}
SETTINGS
  ROSEMARYRAIL_SETTINGS=$work/d$i.jsonc \
    target/rosemaryentryd/rosemaryentryd >>"$work/d$i.log" 2>&1 &
  pid[d$i]=$!
}
for i in $(seq $daemons); do start_daemon "$i"; done
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$address:$((25600 + $1))/-/readyz")" = 200 ]; }
for i in $(seq $daemons); do wait_for "daemon $i" 20 ready "$i"; done
owners() { cat "$work"/d*.log | grep -c event=shard_owned; }
owned() { [ "$(owners)" -ge "$1" ]; }
# Prints the number of the daemon that has become an owner last.
owner() { grep -h event=shard_owned "$work"/d*.log | sort | tail -n 1 | grep -o 'daemon=d[0-9]' | grep -o '[0-9]$'; }
wait_for "an owner" 10 owned 1
for n in 2 3 4 5 6; do
  former=$(owner)
  kill -TERM "${pid[d$former]}"
  wait "${pid[d$former]}"
  wait_for "owner number $n" 5 owned $n
  start_daemon "$former"
  wait_for "daemon $former" 10 ready "$former"
done
first=$(owner)
say "owner: d$first, after five planned restarts"
sleep 1

# Each first run takes 2.6 s, later ones 0.15 s, and all of them fail.
front=$((first % daemons + 1))
for j in $(seq $jobs); do
  id=$(printf '%016x' $((0xb0d6e000 + j)))
  body='{"spec":"work=2600 again=150 fail=100","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":1000}]}'
  answer=$(request POST $front "$id" "$body")
  say "POST $id to d$front: $answer"
  case $answer in *200) ;; *) cannot "a job was not accepted: $answer" ;; esac
done
started() { [ "$(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')" -ge $jobs ]; }
wait_for "the first runs" 5 started

if [ "$trouble" != 0 ]; then
  kill -TERM "${pid[d$first]}"
  say "SIGTERM to d$first"
  wait_for "the next owner" 5 owned 7
  second=$(owner)
  say "owner: d$second"
fi
# Shortly before the first runs fail.
earliest=$(cat "$work"/runs.*.jsonl | jq 'select(.event == "start") | .t' | sort -n | head -n 1)
while [ "$(date +%s%3N)" -lt $((earliest + 2450)) ]; do sleep 0.01; done
if [ "$trouble" != 0 ]; then
  post "$relay/groups/d$second" '{"mode":"freeze"}'
  say "d$second is cut off from the store"
  sleep 3
  post "$relay/groups/d$second" '{"mode":"pass"}'
  say "d$second reaches the store again"
  say "owner: d$(owner)"
fi

over() {
  local j
  for j in $(seq $jobs); do
    case $(request GET $front "$(printf '%016x' $((0xb0d6e000 + j)))") in
      *failed*) ;;
      *) return 1 ;;
    esac
  done
}
until=$((SECONDS + 30))
until over || [ $SECONDS -ge $until ]; do sleep 0.3; done
sleep 1
for j in $(seq $jobs); do
  id=$(printf '%016x' $((0xb0d6e000 + j)))
  say "GET $id from d$front: $(request GET $front "$id")"
done

echo "what the workers ran (time, worker, event, task, run, end):" >>"$record"
cat "$work"/runs.*.jsonl | jq -r '[.t, .vm, .event, .task, .run, .how] | @tsv' \
  | sort -s -n -k1,1 >"$work/runs.tsv"
grep -P '\t(start|end|noted)\t' "$work/runs.tsv" >>"$record"
# A start after as many failed runs as there are attempts, if the ends of these
# runs are taken note of before it or later.
awk -F'\t' -v max=$attempts '
  NR == FNR { if ($3 == "noted" && $6 == "failed") noted[$4, $5] = 1; next }
  $3 == "end" && $6 == "failed" && ($4, $5) in noted { failed[$4]++ }
  $3 == "start" && failed[$4] >= max {
    print "started after " failed[$4] " failed runs: " $4 " run " $5 " on " $2
  }' "$work/runs.tsv" "$work/runs.tsv" >"$work/broken"
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/d*.log "$KEEP_LOGS"
if [ -s "$work/broken" ]; then
  cat "$work/broken" >>"$record"
  cat "$work/broken"
  echo "BUDGET is broken"
  exit 1
fi
[ "$(grep -cP '\tnoted\t.*failed' "$work/runs.tsv")" -ge $((jobs * attempts)) ] \
  || cannot "not all runs have failed in time"
say "BUDGET holds"
echo "BUDGET holds"
