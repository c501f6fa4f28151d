# Guards against faults that show only with two simultaneous failures: a worker
# that crashes in a zone that is cut off, and a daemon that is killed during a
# platform outage.  Requests may end as "not run" until the controller leases of
# the killed daemon expire.
. ./lib.sh
cut_zone=z2
deploy "z1 z2" 2 2
submit z1-d0 both 8 --work-ms 5000
wait_for "all tasks run" running batch:both-j0 8
relay cut
worker z2-w0 '{"crash_ms":1000}'
incarnation[z2-w0]=2
list_vms
wait_for "z1 sees the cut" status z1-d0 \
  'all(.daemons[] | select(.zone == "z2"); .state != "live")'
echo "outside the cut: $(one z1-d0 outside true --timeout-ms 30000)"
relay pass
platform faults '{"down":true}'
wait_for "z1-d0 sees the outage" status z1-d0 'any(.alarms[]; .name == "platform")'
kill_daemon z1-d1
again() {
  tries=$((${tries:-0} + 1))
  [ "$(one z1-d0 "outage$tries" true --timeout-ms 5000)" = "requests sent=1 answered=1" ]
}
wait_for "requests are answered again" again
echo "outage and a killed daemon: requests are answered again"
platform faults '{"down":false}'
start_daemon z1-d1
wait_for "owners of all shards" owned
wait_for "job ends" job_is batch:both-j0 succeeded
echo "job: $(job batch:both-j0)"
wait_for "services run again" services_running
verify
