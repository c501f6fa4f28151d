#!/bin/bash
# Guards against requests that get no answer around a planned stop: one that
# arrives while the daemon stands still before its end, and callers who keep a
# connection to a daemon that is about to go.
. "$(dirname "$0")/lib.sh"
deploy 2 2
ask() {
  curl -s -m 4 -i -H 'Host: desk.example' \
    "http://$address:25501/q/00000000000000aa" | tr -d '\r' \
    | grep -i -e '^HTTP' -e '^connection' || echo "no answer"
}
kill -TERM "${pid[d1]}"
sleep 0.5
ask
sleep 1.3
kill -STOP "${pid[d1]}"
ask >"$work/answer" &
asked=$!
sleep 0.9
kill -CONT "${pid[d1]}"
wait $asked
cat "$work/answer"
stopped() { ! kill -0 "${pid[d1]}" 2>/dev/null; }
wait_for "the end of the daemon" 6 stopped
echo "stopped"
