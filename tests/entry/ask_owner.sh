#!/bin/bash
# Guards against callers that wait for a job that has already ended, because the
# daemon they call has not read the end from the store yet.  That daemon has to
# ask the shard's owner.
. "$(dirname "$0")/lib.sh"
deploy 2 2
: >"$work/none"
find_owner
id=00000000000000aa
answer=$(request POST $other $id \
  '{"spec":"work=4000","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":4000}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
sleep 0.3
relay_mode d$other cut
completed() { case $(request GET "$1" $id) in *completed*) true ;; *) false ;; esac; }
wait_for "the completed phase at the owner" 8 completed $owner
echo "the owner reports the job as completed"
wait_for "the completed phase at the other daemon" 1 completed $other
echo "the other daemon reports it too, without the store"
verify "$work/none"
