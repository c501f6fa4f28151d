#!/bin/bash
# Guards against two runs of a task at once after it has started more often than
# its owner had run numbers at first: the next owner used the number of a run on
# a worker that was out of reach, and took the end of that run for its own.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 3
: >"$work/none"
find_owner
id=00000000000000c3
answer=$(request POST "$owner" $id \
  '{"spec":"work=600000;failures=17","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
starts() { cat "$work"/runs.*.jsonl | jq -r 'select(.event == "start") | "\(.run) \(.vm)"' | sort -n; }
started() { [ "$(starts | wc -l)" -ge "$1" ]; }
wait_for "run 18" 40 started 18
sleep 1
last=$(starts | tail -1)
echo "run ${last% *} is at work"
relay_mode "${last#* }" cut
sleep 1.5
kill -TERM "${pid[d$owner]}"
wait_for "the replacement" 15 started 19
echo "its worker is out of reach, and the next owner has started the task again"
relay_mode "${last#* }" pass
sleep 3
starts | cut -d' ' -f1 | uniq -d | sed 's/^/run number used twice: /'
echo "starts after the replacement: $(($(starts | wc -l) - 19))"
verify "$work/none"
