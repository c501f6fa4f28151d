#!/bin/bash
# Guards against odd entries of another writer under the workers' prefix after
# which daemons end or no longer follow the workers, or which they log at each
# heartbeat.
. "$(dirname "$0")/lib.sh"
deploy 2 3
find_owner
kill -9 "${pid[w3]}"
entry() { # CPU PORT ZONE SEQUENCE
  printf '{"service":"desk","state":"ready","address":"%s:%s","zone":%s,"born":7,"capacity":{"cpu":%s,"memMb":64000},"labels":["a","z1"],"sequence":%d}' \
    "$address" "$2" "$3" "$1" "$4"
}
nested=$(printf '[%.0s' {1..500}; printf ']%.0s' {1..500})
for i in $(seq 10); do
  store_put servers/x1 "$(entry 1e30 25499 '"z1"' "$i")"
  store_put servers/x2 "$(entry 1000 99999 '"z1"' "$i")"
  store_put servers/x3 "$(entry 1000 25499 "$nested" "$i")"
  sleep 0.3
done
start_worker 3
# At most one task at a time on each worker: the owner needs all three.
echo "submitted: $(request POST "$other" 00000000000000aa '{"spec":"text","steps":[{"count":60,"cpu":100,"memMb":1,"antiAffinity":1}]}')"
runs_on() { grep -q '"event":"start"' "$work/runs.$1.jsonl"; }
for i in 1 2 3; do wait_for "a run on worker $i" 20 runs_on "$i"; done
echo "runs on all three workers"
for i in 1 2 3; do
  echo "x$i: $(grep -c "event=vm_entry_unusable key=servers/x$i " "$work/d$owner.log") lines of the owner"
done
ready 1 && ready 2 && echo "both daemons are ready"
: >"$work/none"
verify "$work/none"
