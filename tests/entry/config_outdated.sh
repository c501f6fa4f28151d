#!/bin/bash
# Guards against a daemon that denies a queue because its configuration is out
# of date (CONFIG): it reaches neither the store nor another daemon.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/config_lib.sh"
deploy 1 1
print_queue 1 new "unknown queue"
relay_mode d1 cut
sleep 2.5
put_config_now 2 new
print_queue 1 new "added queue, without the store"
print_queue 1 q "known queue, without the store"
relay_mode d1 pass
wait_for "the store" 10 ready 1
print_queue 1 new "added queue"
print_queue 1 q "removed queue"
