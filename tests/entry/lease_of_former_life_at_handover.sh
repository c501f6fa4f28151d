#!/bin/bash
# The same across a change of owners: the next owner has not seen the restart,
# and learns from the membership record until when such a lease may hold.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/former_life_lib.sh"
restart_with_longest_lease
cut_off
kill -TERM "${pid[d$owner]}"
echo "its owner hands over"
await_third_run
