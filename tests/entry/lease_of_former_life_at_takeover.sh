#!/bin/bash
# The same with an owner that is killed.  The poll is carried out late, when the
# task runs in the next process and nobody can see the effect: that process has
# to refuse it.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/former_life_lib.sh"
start_first_run
restart_under_poll
relay_mode w1 pass
await_second_run
cut_off
kill -9 "${pid[d$owner]}"
echo "its owner is killed"
sleep 1
relay_release w1
wait_for "the poll to arrive" 3 present 'lease_cut\|fenced'
echo "the poll arrived"
present fenced || echo "the poll was carried out"
await_third_run
