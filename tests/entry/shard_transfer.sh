#!/bin/bash
# Guards against jobs, started or not, that keep waiting in a shard whose workers
# are unreachable while another shard has free capacity.  Workers w1 and w3 form
# one shard.  Tasks that ran there have certainly ended 7.8 s after the cut.
. "$(dirname "$0")/lib.sh"
layout=2
deploy 3 4
: >"$work/none"
ids=()
submit() {
  local id answer
  id=$(printf '%016x' "$1")
  answer=$(request POST $(($1 % 3 + 1)) "$id" "$2")
  case $answer in *200*) ids+=("$id") ;; *) fail "submission $1: $answer" ;; esac
}
step='"count":2,"cpu":1000,"memMb":100'
for i in $(seq 8); do
  submit "$i" "{\"spec\":\"work=1500\",\"steps\":[{$step,\"estimateMs\":1500},{$step,\"estimateMs\":1500,\"after\":[0]}]}"
done
sleep 0.6
relay_mode w1 cut
relay_mode w3 cut
for i in $(seq 9 24); do
  submit "$i" "{\"spec\":\"work=300\",\"steps\":[{$step,\"estimateMs\":300}]}"
done
echo "submitted ${#ids[@]}"
completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }
wait_all() {
  for id in "${ids[@]}"; do wait_for "job $id" 20 completed "$id"; done
  echo "all jobs completed"
}
wait_all
# New jobs that are transferred after started ones must not get their progress.
for i in $(seq 25 40); do
  submit "$i" "{\"spec\":\"work=300\",\"steps\":[{$step,\"estimateMs\":300}]}"
done
wait_all
verify "$work/none"
echo "verified"
