#!/bin/bash
# Guards against tasks of long-running jobs that keep waiting in a shard whose
# workers are unreachable while another shard has free capacity.  Workers w1 and w3
# form one shard.
. "$(dirname "$0")/lib.sh"
layout=2
deploy 3 4
: >"$work/none"
for i in $(seq 6); do
  answer=$(request POST $((i % 3 + 1)) "$(printf '%016x' "$i")" \
    '{"spec":"work=600000","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
  case $answer in *200*) ;; *) fail "submission $i: $answer" ;; esac
done
echo "submitted 6"
# running WORKERS N: succeeds if N different tasks run on these workers.
running() {
  [ "$(cat $(printf "$work/runs.%s.jsonl " $1) 2>/dev/null | jq -rs '
    [.[] | select(.event == "end") | .task + "/" + (.run | tostring)] as $over
    | [.[] | select(.event == "start")
       | select((.task + "/" + (.run | tostring)) as $r | $over | index($r) | not)
       | .task] | unique | length')" = "$2" ]
}
wait_for "all tasks to run" 8 running "1 2 3 4" 12
echo "12 tasks run"
relay_mode w1 cut
relay_mode w3 cut
wait_for "all tasks to run on the other workers" 15 running "2 4" 12
echo "12 tasks run on the other workers"
# Cancellation has to stop the tasks in both shards.
for i in $(seq 6); do request DELETE 1 "$(printf '%016x' "$i")" >/dev/null; done
wait_for "all tasks to stop" 8 running "2 4" 0
echo "no task runs"
verify "$work/none"
echo "verified"
