#!/bin/bash
# Guards against a report that is too long to be read and is asked for again and
# again: the worker counts as lost and its tasks end with their leases, though
# it answers.  Four tasks have checkpoints of 400 KB.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 1 1
: >"$work/none"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
id=00000000000000ad
answer=$(request POST 1 $id '{"spec":"work=7000 save=400000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":7000,"checkpointing":true}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
wait_for "the end" 20 completed $id
echo "starts: $(grep -c '"event":"start"' "$work/runs.1.jsonl")"
verify "$work/none"
