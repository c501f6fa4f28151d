#!/bin/bash
# Guards against a task that two owners start (TWICE): a daemon that has lost
# the owner key without having heard of it starts a job that was stored after
# the claim of its successor, which takes the job for a new one.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 2
: >"$work/none"
find_owner
body='{"spec":"work=300","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}'
completed() { case $(request GET "$1" "$2") in *completed*) true ;; *) false ;; esac; }
first=00000000000000b7
answer=$(request POST "$owner" $first "$body")
case $answer in *200*) ;; *) fail "submission: $answer" ;; esac
wait_for "the first job" 10 completed "$owner" $first
id=00000000000000b8
starts() { cat "$work"/runs.*.jsonl | grep '"event":"start"' | grep -c "$id"; }
post "$store_port/standin/mode" '{"watches_unanswered":1}'
store_put rail/owner/s0 another
answer=$(request POST "$owner" $id "$body")
case $answer in *200*) echo "accepted by the former owner" ;; *) fail "submission: $answer" ;; esac
sleep 0.8
echo "starts: $(starts)"
post "$store_port/standin/mode" '{"mode":"ok"}'
lost() { grep -q "event=shard_lost" "$work/d$owner.log"; }
wait_for "the loss of the shard" 10 lost
echo "the former owner has heard of the claim"
echo "starts: $(starts)"
post "$store_port/standin/delete" '{"key":"rail/owner/s0"}'
wait_for "the end" 15 completed "$other" $id
echo "completed, starts: $(starts)"
verify "$work/none"
