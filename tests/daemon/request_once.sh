# Guards against a second grant for the same request id.  A daemon is killed
# after it has sent a non-repeatable request to a worker.  When the request is
# sent again through the other daemon, it must not run a second time.
. ./lib.sh
worker_flags=(--service-us 3000000)
deploy z1 2 2
one z1-d1 once false --timeout-ms 1500 >"$work/first" &
first=$!
wait_for "the worker starts the request" \
  logged '.event == "execute-start" and .request == "once-r0"'
kill_daemon z1-d1
wait $first
echo "first: $(cat "$work/first")"
wait_for "shards move" owned z1-d0 z1-d1
for i in second third; do
  echo "$i: $(one z1-d0 once false --timeout-ms 30000)"
done
echo "executions: $(count_logged '.event == "execute-start" and .request == "once-r0"')"
verify
