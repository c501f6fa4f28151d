# Guards against lost or duplicate work when the platform is down for longer
# than a task lease.  Repeatable requests and running tasks continue.
# Non-repeatable requests, jobs and configurations are refused without any
# effect.  A daemon started during the outage gets its state from its peers and
# serves requests.
. ./lib.sh
deploy z1 2 2
submit z1-d0 before 4 --work-ms 8000
wait_for "all tasks run" running batch:before-j0 4
platform faults '{"down":true}'
for d in z1-d0 z1-d1; do
  wait_for "$d sees the outage" status $d 'any(.alarms[]; .name == "platform")'
done
down_at=$SECONDS
echo "repeatable: $(one z1-d0 repeat true)"
echo "non-repeatable: $(one z1-d1 single false)"
curl -s -o "$work/body" -D "$work/head" -X POST -d '{}' \
  -H 'Request-Repeatable: false' -H 'Request-Id: by-hand' \
  -H 'Request-Timeout-Ms: 1000' "$(http z1-d0)/v1/services/check"
grep -i -E '^(HTTP|request-outcome|retry-after)' "$work/head" | tr -d '\r' | sort
jq -c .error "$work/body"
# An earlier attempt may have run, so that "not run" might be wrong.
echo "sent again: $(curl -s -o /dev/null -w '%{http_code}' -X POST -d '{}' \
  -H 'Request-Repeatable: false' -H 'Request-Id: by-hand' \
  -H 'Request-Attempt: 2' -H 'Request-Timeout-Ms: 1000' \
  "$(http z1-d0)/v1/services/check")"
echo "job: $(curl -s -X POST "$(http z1-d0)/v1/jobs" -d '{"id":"late","team":"batch","class":"scan","tasks":1,"cores_milli":1000,"memory_mb":100,"work_ms":100}' | jq -r .error.code)"
sed 's/"instances": 4/"instances": 3/' "$source/tests/daemon/session.jsonc" >"$work/other.jsonc"
apply z1-d0 "$work/other.jsonc" 2>&1 | sed "s/$address:[0-9]*/ADDRESS/;s|$work|WORK|"
kill_daemon z1-d1
start_daemon z1-d1 --set seed_peers="$address:${rpc_port[z1-d0]}"
wait_for "the new daemon is ready" curl -fs "$(http z1-d1)/readyz"
wait_for "the new daemon knows the workers" status z1-d1 '.workers | length == 2'
echo "new daemon: $(one z1-d1 joined true --timeout-ms 30000)"
while [ $((SECONDS - down_at)) -lt 6 ]; do sleep 0.2; done
for d in z1-d0 z1-d1; do
  echo "$d: generation $(status $d .generation)"
done
platform faults '{"down":false}'
wait_for "job ends" job_is batch:before-j0 succeeded
echo "job: $(job batch:before-j0), starts $(count_logged '.event == "start" and (.task | startswith("batch:before"))')"
wait_for "owners of all shards" owned z1-d1
submit z1-d1 after 4
wait_for "new job ends" job_is batch:after-j0 succeeded
echo "new job: $(job batch:after-j0)"
echo "job refused in the outage: $(job batch:late)"
verify
