#!/bin/bash
# Guards against two runs of a task at once after it has started more often than
# its owner had run numbers at first: the next owner used the number of a run on
# a worker that was out of reach, and took the end of that run for its own.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 3
: >"$work/none"
id=00000000000000c3
answer=$(request POST 1 $id \
  '{"spec":"work=600000;fails_off_peak","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
starts() { cat "$work"/runs.*.jsonl | jq -r 'select(.event == "start") | "\(.run) \(.vm) \(.token)"' | sort -n; }
# An owner that is replaced meanwhile leaves its successor to begin again.
failed_often() { [ "$(starts | cut -d' ' -f3 | uniq -c | tail -1 | awk '{print $1}')" -ge 18 ]; }
wait_for "18 runs under one owner" 80 failed_often
for i in 1 2 3; do kill -USR2 "${pid[w$i]}"; done
ended() { cat "$work"/runs.*.jsonl | jq -r 'select(.event == "end") | .run'; }
at_work() { [ "$(ended | sort -n | tail -1)" -lt "$(starts | tail -1 | cut -d' ' -f1)" ]; }
sleep 2
wait_for "a run that does not fail" 10 at_work
read -r run vm token <<<"$(starts | tail -1)"
echo "more than 16 runs have failed, and one is at work"
before=$(starts | wc -l)
replaced() { [ "$(starts | wc -l)" -gt "$before" ]; }
relay_mode "$vm" cut
sleep 1.5
owner=$(grep -l "event=shard_owned .*token=$token " "$work"/d?.log | head -1)
kill -TERM "${pid[$(basename "$owner" .log)]}"
wait_for "the replacement" 15 replaced
echo "its worker is out of reach, and the next owner has started the task again"
relay_mode "$vm" pass
sleep 3
starts | cut -d' ' -f1 | uniq -d | sed 's/^/run number used twice: /'
echo "starts after the replacement: $(($(starts | wc -l) - before - 1))"
verify "$work/none"
