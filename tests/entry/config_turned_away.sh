#!/bin/bash
# Guards against a daemon that keeps an old configuration for as long as it
# doesn't reach the store, though other daemons have the new one (CONFIG), and
# against one that goes back to an older version when it reaches the store again.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/config_lib.sh"
deploy 3 1
relay_mode d1 cut
relay_mode d3 cut
sleep 3
put_config_now 2 new
print_in_force 1 2 2000
print_queue 1 new "added queue, without the store"
print_queue 1 q "removed queue"
put_config_now 5 newer
print_in_force 1 5 2000
print_queue 1 newer "added queue, without the store"
print_queue 1 new "removed queue"
put_config 3 q
relay_mode d1 pass
wait_for "the store" 10 ready 1
sleep 0.5
print_queue 1 q "queue of an older version"
print_queue 1 newer "queue of the newest version"
