#!/bin/bash
# Guards against a best-effort run that stands still for ever because the owner
# that had paused it is replaced: the worker keeps the speed, and the new owner
# has to set its own.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 1
: >"$work/none"
find_owner
# paces FIELD: prints FIELD of each change of the best-effort run's speed.
paces() { jq -r "select(.event == \"pace\") | .$1" "$work/runs.1.jsonl"; }
started() { grep '"event":"start"' "$work/runs.1.jsonl" | grep -q "$1"; }
serving=00000000000000b1
filling=00000000000000b2
answer=$(request POST $other $serving \
  '{"spec":"tail=4;peak=60;work=600000","steps":[{"count":1,"cpu":2000,"memMb":100,"estimateMs":600000,"longRunning":true,"targetMs":20,"image":"web"}]}')
case $answer in *200*) ;; *) fail "submission: $answer" ;; esac
wait_for "the latency-critical task" 8 started $serving
answer=$(request POST $other $filling \
  '{"spec":"work=9000;cpu=2000","steps":[{"count":1,"cpu":2000,"memMb":100,"estimateMs":9000,"fills":true,"image":"scan"}]}')
case $answer in *200*) ;; *) fail "submission: $answer" ;; esac
wait_for "the best-effort task" 8 started $filling
echo "both tasks run"
kill -USR2 "${pid[w1]}"
# The owner keeps the run paused once its limit for the worker is 0 as well.
paused() {
  grep event=fillers_cut "$work/d$owner.log" | tail -1 | grep -q percent=0 \
    && [ "$(paces how | tail -1)" = 0 ]
}
wait_for "the best-effort task to be paused" 15 paused
echo "the best-effort task is paused"
kill -9 "${pid[d$owner]}"
kill -USR2 "${pid[w1]}"
token=$(paces token | tail -1)
took_over() { grep -q event=shard_owned "$work/d$other.log"; }
wait_for "the takeover" 10 took_over
resumed() { [ "$(paces how | tail -1)" -gt 0 ] && [ "$(paces token | tail -1)" -gt "$token" ]; }
wait_for "a speed above 0 from the new owner" 10 resumed
echo "the new owner lets it run"
completed() { case $(request GET $other $filling) in *completed*) true ;; *) false ;; esac; }
wait_for "the end" 20 completed
[ "$(grep -c '"event":"start"' "$work/runs.1.jsonl")" = 2 ] || fail "a task ran again"
echo "completed with one run a task"
verify "$work/none"
