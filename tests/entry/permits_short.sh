#!/bin/bash
# Guards against permits that are taken to be over when they arrive, since
# they are valid for less time than a start is thought to take: no job ran.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
start_permits 100 8 120
deploy 2 6
for i in $(seq 12); do submit "$i" '{"count":2,"cpu":1000,"memMb":100,"estimateMs":200}'; done
wait_jobs 1 12 20
verify_permits
