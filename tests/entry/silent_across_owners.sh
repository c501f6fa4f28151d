#!/bin/bash
# Guards against a long-running task that waits for a lost worker's lease anew
# with each change of owners: the wait counts from the worker's silence, also
# for an owner that takes over just before it ends.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 3 2
: >"$work/none"
id=00000000000000d1
# The longest absence of a long-running task: 6 s, and 3 s with free capacity.
absence_max_ms=9000
now_ms() { date +%s%3N; }
owner() {
  grep -h event=shard_owned "$work"/d?.log | sort | tail -1 \
    | grep -o 'daemon=d[0-9]' | tail -c 2
}
owned() { [ "$(cat "$work"/d?.log | grep -c event=shard_owned)" = "$1" ]; }
starts() { cat "$work"/runs.*.jsonl | grep '"event":"start"' | grep -c $id; }
started() { [ "$(starts)" -ge "$1" ]; }
wait_for "an owner" 10 owned 1
answer=$(request POST "$(owner)" $id \
  '{"spec":"work=600000","steps":[{"count":1,"cpu":2000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
wait_for "the first run" 8 started 1
lost=$(grep -l $id "$work"/runs.*.jsonl | grep -o 'runs.[0-9]' | tail -c 2)
sleep 1
relay_mode "w$lost" freeze
silent_since=$(now_ms)
echo "its worker falls silent"
sleep 4.2
for change in 2 3; do
  kill -TERM "${pid[d$(owner)]}"
  wait_for "change $change of owners" 8 owned "$change"
done
echo "the owner changed twice"
wait_for "the second run" 20 started 2
absent_ms=$(($(now_ms) - silent_since))
[ $absent_ms -le $absence_max_ms ] || fail "the task was absent for $absent_ms ms"
echo "the task runs again in time"
verify "$work/none"
