# Guards against requests that fail because a daemon under load is stopped with
# SIGTERM.  Requests in progress complete, other daemons take over its shards
# and workers, and the process exits.  The same holds while the platform is
# down, when the handover can't be recorded.
. ./lib.sh
worker_flags=(--service-us 300000)
deploy z1 3 2
submit z1-d0 stop 6 --work-ms 5000 >/dev/null
wait_for "all tasks run" running batch:stop-j0 6
stop_under_load() {
  load "$1" --requests 40 --rate 200 --id-prefix "$1" --timeout-ms 30000 \
    --non-repeatable-pct 0 >"$work/answers.$1" &
  local sent=$!
  wait_for "requests run" logged ".event == \"execute-start\" and (.request | startswith(\"$1-\"))"
  kill -TERM "${pid[$1]}"
  wait $sent
  wait_for "$1 exits" ended "${pid[$1]}"
  echo "$1: $(sed -E 's/ no_answer=[0-9]+| not_run=[0-9]+//g;s/=[0-9]+ answered=[0-9]+/, answered/' "$work/answers.$1")"
  echo "cut in progress: $(jq -n --arg p "$1-" --slurpfile runs <(cat "${worker_logs[@]}") '
    [$runs[] | select(.event == "execute-start") | .request] as $started
    | [inputs | select(.kind == "request" and (.id | startswith($p))
       and .status == 0 and (.id | IN($started[])))] | length' "$work/callers.jsonl")"
  grep -o 'event=stopped handed_over=[a-z]*' "$work/$1.log"
}
stop_under_load z1-d2
wait_for "shards move" owned z1-d0 z1-d2
wait_for "workers move" eval \
  '[ $(($(metric z1-d0 workers_owned) + $(metric z1-d1 workers_owned))) = 2 ]'
platform faults '{"down":true}'
wait_for "z1-d1 sees the outage" status z1-d1 'any(.alarms[]; .name == "platform")'
stop_under_load z1-d1
platform faults '{"down":false}'
wait_for "shards move" owned z1-d0 z1-d1
wait_for "job ends" job_is batch:stop-j0 succeeded
echo "job: $(job batch:stop-j0), starts $(count_logged '.event == "start" and (.task | startswith("batch:"))')"
verify
