# Functions for the sessions in which a poll for the former life of a worker is
# carried out by the next one.  A long-running task has its first and second run
# on worker 1, and its third on worker 2, which starts meanwhile.
layout=1
worker_routes=2
id=00000000000000f1
# The lease end in the poll is 4.5 s and the age of the first process ahead on
# the clock of the next one: it has to be more than the longest lease, 10 s.
first_life_s=8

started() { [ "$(grep '"event":"start"' "$work/runs.$1.jsonl" | grep -c $id)" -ge "$2" ]; }
born() { [ "$(grep -c '"event":"born"' "$work/runs.1.jsonl")" = "$1" ]; }

# present EVENT: whether EVENT is in the log of worker 1 since its last start.
present() {
  tac "$work/runs.1.jsonl" | sed '/"event":"born"/q' | grep -q "\"event\":\"\($1\)\""
}

held() {
  [ "$(curl -s -m 1 "http://$address:$relay_port/stats" \
    | jq '.[] | select(.group == "w1").held')" -gt 0 ]
}

# start_first_run: starts a store, two daemons and worker 1, and submits the
# task.
start_first_run() {
  deploy 2 1
  : >"$work/none"
  find_owner
  local answer
  answer=$(request POST "$owner" $id \
    '{"spec":"work=600000","steps":[{"count":1,"cpu":2000,"memMb":100,"estimateMs":600000,"longRunning":true}]}')
  case $answer in *200*) echo "accepted" ;; *) fail "submission: $answer" ;; esac
  wait_for "the first run" 8 started 1 1
  sleep $first_life_s
}

# restart_under_poll: holds a poll in the relay and restarts worker 1.
restart_under_poll() {
  relay_mode w1 hold
  wait_for "a poll under way" 3 held
  kill -9 "${pid[w1]}"
  wait "${pid[w1]}" 2>/dev/null
  start_worker 1
  wait_for "the next process" 3 born 2
  echo "the worker restarted while a poll was under way"
}

# restart_with_longest_lease: the poll under way is carried out by the next
# process of worker 1 and gives what starts there the longest lease.
restart_with_longest_lease() {
  start_first_run
  restart_under_poll
  relay_release w1
  relay_mode w1 pass
  wait_for "the poll to be carried out" 3 present lease_cut
  echo "the poll gave the longest lease"
  await_second_run
}

await_second_run() {
  wait_for "the second run" 5 started 1 2
  echo "the task runs there again"
}

# cut_off: no byte passes between daemons and worker 1 any more.  Worker 2 is
# there in its place.
cut_off() {
  relay_mode w1 freeze
  start_worker 2
  echo "the worker is cut off"
}

# await_third_run: waits until the task runs elsewhere, and prints violations.
await_third_run() {
  wait_for "the third run" 25 started 2 1
  echo "the task runs elsewhere"
  verify "$work/none"
}
