#!/bin/bash
# Guards against tasks that are lost, run twice or never end when the owner of a
# shard is killed, and against an answer other than 410 to a query for a job that
# was never submitted.
. "$(dirname "$0")/lib.sh"
deploy 3 4
: >"$work/none"
for i in 1 2 3 4 5 6; do
  id=$(printf '%016x' "$i")
  answer=$(request POST $((i % 3 + 1)) "$id" \
    '{"spec":"work=900","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":900},{"count":2,"cpu":1000,"memMb":100,"estimateMs":900,"after":[0]}]}')
  echo "submit $i: ${answer##* *[!0-9 ]}"  | grep -o 'submit [0-9]*'
  case $answer in *200*) ;; *) fail "submission $i: $answer" ;; esac
done
sleep 0.5
owner=$(grep -l event=shard_owned "$work"/d?.log | head -1)
owner=$(basename "$owner" .log)
kill -9 "${pid[$owner]}"
echo "owner killed"
alive=1
[ "$owner" = d1 ] && alive=2
completed() { case $(request GET $alive "$1") in *completed*) true ;; *) false ;; esac; }
for i in 1 2 3 4 5 6; do
  wait_for "job $i" 20 completed "$(printf '%016x' "$i")"
done
echo "all jobs completed"
case $(request GET $alive 00000000000000ff) in *410*) echo "unknown job: 410" ;; *) echo "unknown job: not 410" ;; esac
verify "$work/none"
echo "verified"
