#!/bin/bash
# Guards against running work that is given up because its worker is slow to
# report: its answers come 1.4 s late, after the time in which a poll is
# answered, and its tasks must neither lose their lease nor start again.
. "$(dirname "$0")/lib.sh"
deploy 1 1
: >"$work/none"
id=00000000000000ad
answer=$(request POST 1 $id \
  '{"spec":"work=9000","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":9000}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
started() { [ "$(grep -c '"event":"start"' "$work/runs.1.jsonl")" = 2 ]; }
wait_for "two starts" 5 started
relay_delay w1 700
lost() { grep -q event=vm_lost "$work/d1.log"; }
wait_for "a poll without an answer in time" 5 lost
echo "the worker is slow"
completed() { case $(request GET 1 $id) in *completed*) true ;; *) false ;; esac; }
wait_for "the end" 25 completed
started || fail "a task was started again"
echo "completed with one run a task"
verify "$work/none"
