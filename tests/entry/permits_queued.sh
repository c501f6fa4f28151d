#!/bin/bash
# Guards against starts that leave the daemon's queue after their permits are
# over: the worker is reached after 120 ms, four starts are under way to it at a
# time, and permits are valid for 300 ms.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
start_permits 20 0 300
deploy 2 1
relay_delay w1 120
sleep 1
for i in 1 2 3 4; do
  submit "$i" '{"count":8,"cpu":1000,"memMb":100,"estimateMs":200}'
  wait_jobs "$i" "$i" 12
done
verify_permits
refused=$(grep not_permitted "$work/runs.1.jsonl" | grep -c expired)
echo "refused starts: $([ "$refused" -le 4 ] && echo "4 at most" || echo "$refused")"
