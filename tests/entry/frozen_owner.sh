#!/bin/bash
# Guards against a daemon that shows a job as queued for as long as the owner
# of its shard does not answer.  Only owners follow the progress of jobs, so
# the daemon has to read it from the store.  It has to know the number of
# pending jobs without asking anybody.
. "$(dirname "$0")/lib.sh"
deploy 2 2
: >"$work/none"
find_owner
id=00000000000000ab
answer=$(request POST $other $id \
  '{"spec":"work=300","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
answer=$(request POST $other 00000000000000ac \
  '{"spec":"work=300","steps":[{"count":1,"cpu":900000,"memMb":100,"estimateMs":300}]}')
case $answer in *200*) echo "accepted one that fits nowhere" ;; *) fail "submission: $answer" ;; esac
completed() { case $(request GET "$1" $id) in *completed*) true ;; *) false ;; esac; }
pending() { case $(request GET "$1" '') in *'"pending":1'*) true ;; *) false ;; esac; }
wait_for "the completed phase at the owner" 8 completed $owner
wait_for "one pending job at the owner" 2 pending $owner
wait_for "one pending job at the other daemon" 2 pending $other
echo "one job is pending"
kill -STOP "${pid[d$owner]}"
completed $other || fail "the other daemon does not know the end"
echo "the other daemon reads the end from the store"
kill -CONT "${pid[d$owner]}"
verify "$work/none"
