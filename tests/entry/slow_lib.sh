# Functions for the sessions with slow workers or a slow store.
layout=1

completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }

# run_jobs N WORK_MS: hands in N jobs of two steps of two tasks, waits until
# callers see them completed, and prints how often tasks were started.
run_jobs() {
  local step='"count":2,"cpu":1000,"memMb":100,"estimateMs":'$2 answer i
  for i in $(seq "$1"); do
    answer=$(request POST $((i % 2 + 1)) "$(printf '%016x' "$i")" \
      "{\"spec\":\"work=$2\",\"steps\":[{$step},{$step,\"after\":[0]}]}")
    case $answer in *200*) ;; *) fail "submission $i: $answer" ;; esac
  done
  for i in $(seq "$1"); do wait_for "job $i" 40 completed "$(printf '%016x' "$i")"; done
  echo "all jobs completed"
  echo "starts: $(cat "$work"/runs.*.jsonl | grep -c '"event":"start"')"
  : >"$work/none"
  verify "$work/none"
}
