#!/bin/bash
# Guards against a job that waits for the replacement of a run that has done its
# task: the end of the run while its worker was out of reach has to count once
# the worker is back, although the run had been given up.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 2
: >"$work/none"
id=00000000000000b3
runs() { jq -r "select(.event == \"$1\" and .task == \"$id.0.$2.0\" and .run == $3) | .vm + .how" "$work"/runs.*.jsonl; }
seen() { [ -n "$(runs "$@")" ]; }
answer=$(request POST 1 $id \
  '{"spec":"work=1500;again=60000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":1500},{"count":1,"cpu":1000,"memMb":100,"estimateMs":1500,"after":[0]}]}')
case $answer in *200*) ;; *) fail "submission: $answer" ;; esac
wait_for "the first run" 8 seen start 0 1
first=$(runs start 0 1)
relay_mode "$first" cut
echo "the worker is out of reach"
wait_for "the end of the first run" 8 seen end 0 1
[ "$(runs end 0 1)" = "${first}done" ] || fail "the first run ended as $(runs end 0 1)"
wait_for "the replacement" 12 seen start 0 2
second=$(runs start 0 2)
[ "$second" != "$first" ] || fail "the replacement is on the same worker"
echo "the run that was done there is replaced"
relay_mode "$first" pass
wait_for "the next step" 10 seen start 1 1
echo "the next step runs"
wait_for "the end of the replacement" 8 seen end 0 2
[ "$(runs end 0 2)" = "${second}stopped" ] || fail "the replacement ended as $(runs end 0 2)"
echo "the replacement is stopped"
completed() { case $(request GET 1 $id) in *completed*) true ;; *) false ;; esac; }
wait_for "the end" 10 completed
[ "$(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')" = 3 ] || fail "a task ran again"
echo "completed"
verify "$work/none"
