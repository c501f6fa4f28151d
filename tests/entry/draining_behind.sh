#!/bin/bash
# Guards against starts on a draining worker (DRAIN) by an owner whose view of
# the workers' entries falls behind: the store puts two changes into an answer
# to a watch, and the workers' heartbeats change 20 entries a second.
. "$(dirname "$0")/lib.sh"
layout=1
watch_items=2
drain_limit_ms=2000
deploy 2 8
: >"$work/none"
step='"count":4,"cpu":1000,"memMb":100,"estimateMs":200'
next=1
# submit_for SECONDS: submits a job of four tasks each 0.1 s.
submit_for() {
  local until=$((SECONDS + $1))
  while [ $SECONDS -lt $until ]; do
    request POST $((next % 2 + 1)) "$(printf '%016x' $next)" \
      "{\"spec\":\"work=200\",\"steps\":[{$step}]}" >>"$work/answers"
    next=$((next + 1))
    sleep 0.1
  done
}
submit_for 5
kill -USR1 "${pid[w1]}"
submit_for 7
starts() { jq -c "select(.event == \"start\" and $1)" "$work"/runs.*.jsonl | wc -l; }
drained=$(jq -r 'select(.event == "draining") | .t' "$work/runs.1.jsonl")
[ -n "$drained" ] || fail "the worker did not drain"
[ "$(starts ".vm == \"w1\" and .t < $drained")" -gt 0 ] && echo "started on w1 before it drained"
[ "$(starts ".vm != \"w1\" and .t > $drained + $drain_limit_ms")" -gt 20 ] && echo "started on others afterwards"
echo "started too late on w1: $(starts ".vm == \"w1\" and .t > $drained + $drain_limit_ms")"
verify "$work/none"
