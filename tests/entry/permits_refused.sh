#!/bin/bash
# Guards against permits that workers refuse and that are asked for again and
# again: they are over when they arrive, though the policy says 3 s.  Once they
# are valid, the job runs.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
advice='{"decisionMs":20,"perWorkerMs":0,"validMs":3000}'
start_permits 20 0 -1000
deploy 2 6
submit 1 '{"count":2,"cpu":1000,"memMb":100,"estimateMs":200}'
sleep 6
asked=$(grep -c asked "$work/permits.jsonl")
echo "calls: $([ "$asked" -le 8 ] && echo "8 at most" || echo "$asked")"
kill "${pid[permits]}"
wait "${pid[permits]}" 2>/dev/null
start_permits 20 0 3000
wait_jobs 1 1 10
verify_permits
