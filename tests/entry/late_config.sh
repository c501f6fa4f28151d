#!/bin/bash
# Guards against an owner that decides without the configuration (LOST: a job is
# shown as failed at its first failed run): a daemon restarts, claims the shard
# and reads the configuration 1.5 s late.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 1 2
: >"$work/none"
kill -9 "${pid[d1]}"
post "$store_port/standin/mode" '{"mode":"ok","config_delay_ms":1500}'
mv "$work/d1.log" "$work/d1.first.log"
start_daemon 1
owned() { grep -q event=shard_owned "$work/d1.log"; }
wait_for "the takeover" 15 owned
grep -o 'event=config_applied\|event=shard_claim\|event=shard_owned' "$work/d1.log" | uniq
verify "$work/none"
