#!/bin/bash
# Guards against jobs that never start because all workers are slow to report:
# their answers take 0.8 s.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/slow_lib.sh"
deploy 2 4
for i in 1 2 3 4; do relay_delay "w$i" 400; done
sleep 3
run_jobs 8 300
