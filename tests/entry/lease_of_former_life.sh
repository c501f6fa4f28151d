#!/bin/bash
# Guards against two runs of a task at a time (TWICE, issue 47): a poll that
# renews the leases of a worker is carried out by the next process with its id,
# whose clock starts anew, and gives what runs there the longest lease.  The
# worker is cut off then, and the task may start elsewhere after that lease only.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/former_life_lib.sh"
restart_with_longest_lease
cut_off
await_third_run
