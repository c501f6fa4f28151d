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
# start_worker_in I ZONE KIND: as start_worker, but in that zone and of that kind.
start_worker_in() {
  "$build/standins/rr-taskworker" --address "$address" --port $((25400 + $1)) \
    --store $store_port --id "w$1" --zone "$2" --kind "$3" --log "$work/runs.$1.jsonl" \
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

# Kind b has a worker in each shard.  One of them is lost for good while jobs run
# there, and is suspected to have crashed under the long-running tasks.
start_worker_in 5 z1 b
start_worker_in 6 z2 b
for i in 5 6; do wait_for "worker $i" 5 grep -q "event=vm_heard.* vm=w$i " "$work"/d1.log "$work"/d2.log "$work"/d3.log; done
sleep 1
for i in $(seq 5 12); do submit "$i" "{$task,\"requirements\":\"b\"}"; done
for i in 13 14; do
  submit "$i" "{$task,\"requirements\":\"b\",\"longRunning\":true}" 40000
done
sleep 0.5
kill -9 "${pid[w5]}"
wait "${pid[w5]}" 2>/dev/null
unset "pid[w5]"
# What ran there has ended, which the worker can't log.
jq -cn '{t: (now * 1000 | floor), vm: "w5", event: "born"}' >>"$work/runs.5.jsonl"
grep -q 0000000000000 "$work/runs.5.jsonl" || echo "no job ran on worker 5"
wait_jobs 5 12
echo "jobs of the lost worker completed"
# lasting N: N long-running tasks have started on worker 6.
lasting() {
  [ "$(jq -rs '[.[] | select(.event == "start") | .task
    | select(test("^000000000000000[de][.]"))] | unique | length' "$work/runs.6.jsonl")" = "$1" ]
}
wait_for "the long-running tasks" 20 lasting 4
echo "long-running tasks run"

# No worker of any shard has this label until worker 8 starts.
submit 17 "{$task,\"requirements\":\"z9\"}"
unfit() { cat "$work"/d?.log | grep -c "event=job_unfit .*job=0000000000000011 .*lacking=label"; }
wait_for "the log line" 5 grep -q event=job_unfit "$work/d1.log" "$work/d2.log" "$work/d3.log"
sleep 2
echo "logged $(unfit)"
counted() { for i in 1 2 3; do curl -s -m 1 "http://$address:$((25700 + i))/metrics"; done; }
echo "counted $(counted | grep -c 'rosemaryrail_events_total{event="job_unfit"} 1')"
start_worker_in 8 z1 z9
wait_jobs 17 17
echo "job completed once there is a worker"
for i in 13 14; do request DELETE 1 "$(printf '%016x' "$i")" >/dev/null; done
verify "$work/none"
echo "verified"
