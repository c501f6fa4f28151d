#!/bin/bash
# Guards against work that waits for ever in a shard without a worker that can
# run it.  Workers w1 and w3 form one shard, the others the other one; the zone
# of a worker is one of its labels.
. "$(dirname "$0")/lib.sh"
layout=2
deploy 3 4
: >"$work/none"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
# submit I STEPS [MS]: hands in job I, whose tasks work for 1 s or MS.
submit() {
  local answer
  answer=$(request POST $(($1 % 3 + 1)) "$(printf '%016x' "$1")" "{\"spec\":\"work=${3:-1000}\",\"steps\":[$2]}")
  case $answer in *200*) ;; *) fail "submission $1: $answer" ;; esac
}
# wait_jobs FIRST LAST: waits until the jobs are completed.
wait_jobs() {
  local i
  for i in $(seq "$1" "$2"); do
    wait_for "job $i" 25 completed "$(printf '%016x' "$i")"
  done
}
# start_worker_in I ZONE: as start_worker, but in that zone.
start_worker_in() {
  "$build/standins/rr-taskworker" --address "$address" --port $((25400 + $1)) \
    --store $store_port --id "w$1" --zone "$2" --log "$work/runs.$1.jsonl" \
    >>"$work/worker.$1.log" 2>&1 &
  pid[w$1]=$!
}
task='"count":2,"cpu":1000,"memMb":100,"estimateMs":1000'

# The steps need workers of different shards, first of one, then of the other.
for i in 1 2 3 4; do
  submit "$i" "{$task,\"requirements\":\"z1\"},{$task,\"requirements\":\"z2\",\"after\":[0]}"
done
wait_jobs 1 4
echo "steps of two shards completed"

# The workers of a kind in one shard are lost for good while jobs run there.
start_worker_in 6 z2
sleep 1
for i in $(seq 5 10); do submit "$i" "{$task,\"requirements\":\"z2\"}"; done
submit 11 "{$task,\"requirements\":\"z2\",\"longRunning\":true}" 600000
sleep 0.5
for i in 1 3; do
  kill -9 "${pid[w$i]}"
  wait "${pid[w$i]}" 2>/dev/null
  unset "pid[w$i]"
  # What ran there has ended, which the worker can't log.
  jq -cn --arg vm "w$i" '{t: (now * 1000 | floor), vm: $vm, event: "born"}' >>"$work/runs.$i.jsonl"
done
wait_jobs 5 10
echo "jobs of the lost workers completed"
# lasting N: N tasks of job 11 run on worker 6.
lasting() {
  [ "$(jq -rs '[.[] | select(.event == "start") | .task
    | select(startswith("000000000000000b"))] | unique | length' "$work/runs.6.jsonl")" = "$1" ]
}
wait_for "the long-running tasks" 20 lasting 2
echo "long-running tasks run"

# No worker of any shard has this label until worker 8 starts.
submit 12 "{$task,\"requirements\":\"z9\"}"
unfit() { cat "$work"/d?.log | grep -c "event=job_unfit .*job=000000000000000c .*lacking=label"; }
wait_for "the log line" 5 grep -q event=job_unfit "$work/d1.log" "$work/d2.log" "$work/d3.log"
sleep 2
echo "logged $(unfit)"
counted() { for i in 1 2 3; do curl -s -m 1 "http://$address:$((25700 + i))/metrics"; done; }
echo "counted $(counted | grep -c 'rosemaryrail_events_total{event="job_unfit"} 1')"
start_worker_in 8 z9
wait_jobs 12 12
echo "job completed once there is a worker"
request DELETE 1 000000000000000b >/dev/null
verify "$work/none"
echo "verified"
