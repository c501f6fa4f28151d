#!/bin/bash
# Guards against a new owner that has not followed the workers' entries and
# starts from old ones: of four daemons the owner and its two successors are
# killed.  The fourth has to read the workers first, and must not start
# anything on the one that left meanwhile.
. "$(dirname "$0")/lib.sh"
deploy 4 3
: >"$work/none"
owned() { grep -l event=shard_owned "$work"/d?.log | tail -1 | xargs basename -s .log; }
follower() {
  for i in 1 2 3 4; do
    grep event=workers_followed "$work/d$i.log" | tail -1 | grep -q follow=false && echo "d$i"
  done
}
one_follower() { [ "$(follower | wc -l)" = 1 ]; }
wait_for "one daemon that does not follow" 15 one_follower
last=$(follower)
echo "one daemon does not follow the workers"
kill -9 "${pid[w3]}"
for i in 1 2 3 4; do
  [ "d$i" = "$last" ] || kill -9 "${pid[d$i]}"
done
took_over() { grep -q event=shard_owned "$work/$last.log"; }
wait_for "the takeover" 10 took_over
grep event=workers_followed "$work/$last.log" | tail -1 | grep -o follow=true
id=00000000000000ae
answer=$(request POST "${last#d}" $id \
  '{"spec":"work=300","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}')
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
completed() { case $(request GET "${last#d}" $id) in *completed*) true ;; *) false ;; esac; }
wait_for "the end" 15 completed
echo "completed"
verify "$work/none"
