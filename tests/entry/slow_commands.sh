#!/bin/bash
# Guards against starts that are given up before their answers come, over and
# over: all workers answer after 0.8 s.  Every task must run, and only once.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/slow_lib.sh"
deploy 2 4
for i in 1 2 3 4; do relay_delay "w$i" 400; done
sleep 3
run_jobs 4 2000
