#!/bin/bash
# Guards against requests that get no response during a graceful shutdown: one
# that arrives while the daemon is suspended shortly before it exits, and those
# of callers who keep a connection open to a daemon that is about to exit.
. "$(dirname "$0")/lib.sh"
deploy 2 2
query() {
  curl -s -m 4 -i -H 'Host: desk.example' \
    "http://$address:25501/q/00000000000000aa" | tr -d '\r' \
    | grep -i -e '^HTTP' -e '^connection' || echo "no response"
}
kill -TERM "${pid[d1]}"
# The daemon ends 2.3 s after SIGTERM, however long the first query takes.
sleep 1.8 &
shortly_before_the_end=$!
sleep 0.5
query
wait $shortly_before_the_end
kill -STOP "${pid[d1]}"
query >"$work/response" &
request_pid=$!
sleep 0.9
kill -CONT "${pid[d1]}"
wait $request_pid
cat "$work/response"
exited() { ! kill -0 "${pid[d1]}" 2>/dev/null; }
wait_for "the exit of the daemon" 6 exited
echo "stopped"
