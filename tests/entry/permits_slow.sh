#!/bin/bash
# Guards against a permit service that takes longer than it should: calls were
# given up before their answers came, the answers went to nobody, and the rest
# counted as too old.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
advice='{"decisionMs":100,"perWorkerMs":8,"validMs":3000}'
start_permits 1500 8 3000
deploy 2 6
for i in $(seq 10); do submit "$i" '{"count":2,"cpu":1000,"memMb":100,"estimateMs":200}'; done
wait_jobs 1 10 30
verify_permits
