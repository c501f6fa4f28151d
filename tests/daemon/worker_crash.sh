# Guards against lost or duplicate work when a worker VM crashes and restarts
# as a new incarnation without state.  Each of its tasks runs again exactly
# once.  Requests in progress there are retried if repeatable and otherwise end
# as unknown.
. ./lib.sh
worker_flags=(--service-us 2000000)
deploy z1 2 2
submit z1-d0 crash 8 --work-ms 6000
wait_for "all tasks run" running batch:crash-j0 8
load z1-d0 --requests 10 --rate 1000 --id-prefix repeat \
  --non-repeatable-pct 0 --timeout-ms 30000 >"$work/repeat" &
repeat=$!
load z1-d1 --requests 10 --rate 1000 --id-prefix single \
  --non-repeatable-pct 100 --timeout-ms 30000 >"$work/single" &
single=$!
wait_for "a non-repeatable request runs" logged \
  '.event == "execute-start" and (.request | startswith("single"))'
crashed=$(cat "${worker_logs[@]}" | jq -n -r 'first(inputs
  | select(.event == "execute-start" and (.request | startswith("single")))).worker')
worker "$crashed" '{"crash_ms":1000}'
incarnation[$crashed]=2
list_vms
wait $repeat $single
echo "repeatable: $(cat "$work/repeat")"
grep -q unknown "$work/single" && echo "non-repeatable: some unknown"
wait_for "job ends" job_is batch:crash-j0 succeeded
echo "job: $(job batch:crash-j0)"
wait_for "services run again" services_running
jq -n -r --arg crashed "$crashed" '[inputs | select(.event == "start" and (.task | startswith("batch:")))]
  | group_by(.task) | map([if .[0].worker == $crashed then "crashed" else "other" end, length])
  | unique[] | "tasks first on the \(.[0]) worker: started \(.[1])"' "${worker_logs[@]}"
verify
