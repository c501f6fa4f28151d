#!/bin/bash
# Guards against writes that are given up before their answers come, over and
# over: the store answers after 1 s, and callers never saw a job completed.
# Every task must run, and only once.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/slow_lib.sh"
deploy 2 4
for i in 1 2; do relay_delay "d$i" 500; done
sleep 3
run_jobs 8 300
