#!/bin/bash
# Guards against a daemon that starts while the store turns it away and has no
# configuration until then (CONFIG): other daemons, whose addresses its settings
# have, can tell it.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/config_lib.sh"
deploy 2 1
kill -9 "${pid[d1]}"
relay_mode d1 cut
mv "$work/d1.log" "$work/d1.first.log"
put_config_now 2 new
seeds='"127.0.0.9:1", "'$address':25802"'
start_daemon 1
learnt() { [ "$(queue_status 1 other)" = 404 ]; }
wait_for "the configuration" 5 learnt
print_queue 1 other "unknown queue"
