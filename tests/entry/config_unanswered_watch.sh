#!/bin/bash
# Guards against a change that no daemon learns of, since the store does not
# answer their watches for a while (CONFIG): its reads are answered all the time.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/config_lib.sh"
deploy 2 1
post "$store_port/standin/mode" '{"watches_unanswered":1}'
sleep 0.3
put_config_now 2 new
print_in_force 1 2 2000
print_in_force 2 2 2000
put_config_now 3 newer
print_in_force 1 3 2000
print_in_force 2 3 2000
