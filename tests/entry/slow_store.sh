#!/bin/bash
# Guards against writes that are given up before their answers come, over and
# over: the store answers after 1 s, and callers never saw a job completed.
# Every task must run, and only once.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 4
: >"$work/none"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
for i in 1 2; do relay_delay "d$i" 500; done
sleep 3
step='"count":2,"cpu":1000,"memMb":100,"estimateMs":300'
for i in $(seq 8); do
  answer=$(request POST $((i % 2 + 1)) "$(printf '%016x' "$i")" \
    "{\"spec\":\"work=300\",\"steps\":[{$step},{$step,\"after\":[0]}]}")
  case $answer in *200*) ;; *) fail "submission $i: $answer" ;; esac
done
for i in $(seq 8); do wait_for "job $i" 20 completed "$(printf '%016x' "$i")"; done
echo "all jobs completed"
echo "starts: $(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')"
verify "$work/none"
