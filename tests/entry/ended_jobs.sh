#!/bin/bash
# Guards against daemons that read the whole graph of every ended job when they
# start, and against a job that runs again because only a summary of it is
# left: all daemons are killed after it has ended, and it is submitted again.
. "$(dirname "$0")/lib.sh"
deploy 2 2
: >"$work/none"
id=00000000000000af
body='{"spec":"work=300","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]}'
answer=$(request POST 1 $id "$body")
case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
completed() { case $(request GET "$1" $id) in *completed*) true ;; *) false ;; esac; }
wait_for "the end" 10 completed 1
summarized() {
  curl -s -m 1 "http://$address:$store_port/-/kv-key?key=rail/job/$id" \
    | jq -r .value | base64 -d | grep -q '^{"ended":"completed"'
}
wait_for "the summary" 5 summarized
echo "summarized"
for i in 1 2; do kill -9 "${pid[d$i]}"; done
for i in 1 2; do start_daemon $i; done
for i in 1 2; do wait_for "daemon $i" 20 ready $i; done
completed 2 || fail "the end is not known after the restart"
answer=$(request POST 2 $id "$body")
case $answer in *200*) echo "the submission is repeated" ;; *) fail "second submission: $answer" ;; esac
sleep 1.5
completed 1 || fail "the job is not completed any more"
[ "$(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')" = 2 ] || fail "a task ran again"
echo "still completed with one run a task"
verify "$work/none"
