#!/bin/bash
# Guards against permits whose time is counted from before the service began
# with their call, which waited behind another one: they are valid for less
# time than a call takes, and most jobs did not run.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
start_permits 300 8 250
deploy 2 6
for i in $(seq 12); do submit "$i" '{"count":2,"cpu":1000,"memMb":100,"estimateMs":200}'; done
wait_jobs 1 12 20
verify_permits
