#!/bin/bash
# Guards against jobs that never start because all workers are slow to report:
# their answers take 0.8 s.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 4
: >"$work/none"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
for i in 1 2 3 4; do relay_delay "w$i" 400; done
sleep 3
step='"count":2,"cpu":1000,"memMb":100,"estimateMs":300'
for i in $(seq 8); do
  answer=$(request POST $((i % 2 + 1)) "$(printf '%016x' "$i")" \
    "{\"spec\":\"work=300\",\"steps\":[{$step},{$step,\"after\":[0]}]}")
  case $answer in *200*) ;; *) fail "submission $i: $answer" ;; esac
done
for i in $(seq 8); do wait_for "job $i" 40 completed "$(printf '%016x' "$i")"; done
echo "all jobs completed"
echo "starts: $(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')"
verify "$work/none"
