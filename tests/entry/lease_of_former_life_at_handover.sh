#!/bin/bash
# The same across a change of owners: the next owner has not seen the restart,
# and learns from the membership record until when such a lease may hold.
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
kill -TERM "${pid[d$owner]}"
echo "its owner hands over"
await_third_run
