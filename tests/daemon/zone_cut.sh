# Guards against lost or duplicate tasks when one availability zone is cut off
# from the platform and from the daemons of the other zone.  Requests inside it
# are answered, its tasks continue beyond their lease, and none of them is
# started elsewhere.  The job completes after the connection is restored.
. ./lib.sh
cut_zone=z2
deploy "z1 z2" 2 2
submit z1-d0 cut 8 --work-ms 12000
wait_for "all tasks run" running batch:cut-j0 8
inside='.event == "start" and (.task | startswith("batch:cut")) and (.worker | startswith("z2"))'
relay cut
cut_at=$SECONDS
wait_for "z1 sees the cut" status z1-d0 \
  'all(.daemons[] | select(.zone == "z2"); .state != "live")'
for d in z2-d0 z2-d1; do
  wait_for "$d sees the cut" status $d 'any(.alarms[]; .name == "platform")'
  echo "$d, repeatable: $(one $d "in-$d" true --timeout-ms 30000)"
  echo "$d, non-repeatable: $(one $d "single-$d" false --timeout-ms 1500)"
done
echo "outside: $(one z1-d0 out true --timeout-ms 30000)"
while [ $((SECONDS - cut_at)) -lt 6 ]; do sleep 0.2; done
echo "tasks started again during the cut: $(jq -n '[inputs | select(.event == "start" and (.task | startswith("batch:cut"))) | .task] | length - (unique | length)' "${worker_logs[@]}")"
echo "tasks inside lost: $(count_logged '.event == "end" and .result == "lease-expired"')"
relay pass
wait_for "job ends" job_is batch:cut-j0 succeeded
echo "job: $(job batch:cut-j0)"
echo "some tasks ran inside: $([ "$(count_logged "$inside")" -gt 0 ] && echo yes)"
echo "starts: $(count_logged '.event == "start" and (.task | startswith("batch:cut"))')"
wait_for "z2-d0 reaches the platform" status z2-d0 '.alarms == []'
wait_for "owners of all shards" owned z2-d0
echo "single request after the cut: $(one z2-d0 after false --timeout-ms 30000)"
verify
