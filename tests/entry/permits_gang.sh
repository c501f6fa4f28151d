#!/bin/bash
# Guards against gangs whose members never have valid permits at the same time,
# since those of one answer are over when the next one is there.  All workers
# are permitted at first, so calls list few; then about a third of them are, and
# no call finds enough by itself.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
advice='{"decisionMs":600,"perWorkerMs":8,"validMs":700}'
start_permits 0 0 700
deploy 2 14
for i in $(seq 21 40); do submit "$i" '{"count":4,"cpu":1000,"memMb":100,"estimateMs":200}'; done
wait_jobs 21 40 20
kill "${pid[permits]}"
wait "${pid[permits]}" 2>/dev/null
start_permits 600 8 700 35
# One at a time: the calls for one gang follow each other directly.
for i in 3 4 5 6; do
  submit "$i" '{"count":4,"cpu":5000,"memMb":100,"estimateMs":200,"gang":true}'
  wait_jobs "$i" "$i" 12
done
verify_permits
