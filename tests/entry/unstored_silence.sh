#!/bin/bash
# Guards against a worker that is back and gets no lease, so that its run ends:
# the write of its silence had no answer, and the record without it, which the
# store may not have, was taken for unchanged.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 1 2
: >"$work/none"
id=00000000000000d2
answer=$(request POST 1 $id \
  '{"spec":"work=600000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
starts() { cat "$work"/runs.*.jsonl | grep '"event":"start"' | grep -c $id; }
started() { [ "$(starts)" -ge 1 ]; }
wait_for "the run" 8 started
vm=$(grep -l $id "$work"/runs.*.jsonl | grep -o 'runs.[0-9]' | tail -c 2)
sleep 1
relay_mode "w$vm" cut
sleep 1
relay_mode d1 drop-answers
sleep 0.8
relay_mode "w$vm" pass
sleep 0.4
relay_mode d1 pass
echo "the worker and the store are back"
# A lease lasts 4.5 s.
sleep 7
cat "$work"/runs.*.jsonl | grep $id | grep '"event":"end"' && fail "the run ended"
[ "$(starts)" = 1 ] || fail "the task started $(starts) times"
echo "its run goes on"
verify "$work/none"
