#!/bin/bash
# Guards against jobs that wait in a shard whose workers are out of reach while
# another shard has room.  Workers w1 and w3 are those of one shard.
. "$(dirname "$0")/lib.sh"
layout=2
deploy 3 4
relay_mode w1 cut
relay_mode w3 cut
: >"$work/none"
ids=()
for i in $(seq 16); do
  id=$(printf '%016x' "$i")
  answer=$(request POST $((i % 3 + 1)) "$id" \
    '{"spec":"work=300","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]}')
  case $answer in *200*) ids+=("$id") ;; *) fail "submission $i: $answer" ;; esac
done
echo "submitted ${#ids[@]}"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
for id in "${ids[@]}"; do
  wait_for "job $id" 8 completed "$id"
done
echo "all jobs completed"
verify "$work/none"
echo "verified"
