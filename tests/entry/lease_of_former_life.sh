#!/bin/bash
# Guards against two runs of a task at a time (TWICE, issue 47): a poll that
# renews the leases of a worker is carried out by the next process with its id,
# whose clock starts anew, and gives what runs there the longest lease.  The
# worker is cut off then, and the task may start elsewhere after that lease only.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/former_life_lib.sh"
start_first_run
restart_under_poll
relay_release w1
relay_mode w1 pass
wait_for "the poll to be carried out" 3 present lease_cut
echo "the poll gave the longest lease"
await_second_run
cut_off
await_third_run
