#!/bin/bash
# Guards against progress that the store refuses since it is too long, again and
# again, together with that of other jobs: their ends were never stored.  A job
# that is too large to be stored is refused at once, and never runs.
. "$(dirname "$0")/lib.sh"
layout=1
value_bytes=6000
deploy 2 4
: >"$work/none"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
task='"count":4,"cpu":1000,"memMb":100,"estimateMs":300'
submit() { request POST $(($1 % 2 + 1)) "$(printf '%016x' "$1")" "$2" | grep -o '...$'; }
submit 1 "{\"spec\":\"work=200 again=20000 fails_first save=3000\",\"steps\":[{$task,\"checkpointing\":true}]}"
failed() { [ "$(cat "$work"/runs.*.jsonl | grep -c '"event":"end".*"how":"failed"')" = 4 ]; }
wait_for "four failed runs" 8 failed
for i in 2 3; do submit $i "{\"spec\":\"work=300\",\"steps\":[{$task}]}"; done
for i in 2 3; do wait_for "job $i" 10 completed "$(printf '%016x' $i)"; done
echo "jobs beside it completed"
submit 4 "{\"spec\":\"$(printf '%04000d' 0)\",\"steps\":[$(for i in $(seq 150); do printf '{%s},' "$task"; done){$task}]}"
request DELETE 1 "$(printf '%016x' 1)" >/dev/null
verify "$work/none"
