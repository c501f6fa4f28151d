#!/bin/bash
# Guards against a daemon that takes over shards whose progress is stored in
# another format: it would start tasks again that have ended.
. "$(dirname "$0")/lib.sh"
start_store
start_relay 1 1
wait_for "the store" 20 curl -s -m 1 "http://$address:$store_port/-/kv-range?prefix=x"
wait_for "the relay" 20 curl -s -m 1 "http://$address:$((25100 + 1))/-/kv-range?prefix=x"
store_put op/config '{"version":1,"routes":[],"services":[],"limits":{}}'
store_put rail/layout '{"shards":1}'
start_daemon 1
logged() { grep -q event=layout_unusable "$work/d1.log"; }
wait_for "the log line" 10 logged
sleep 2
ready 1 && fail "the daemon is ready"
grep -q event=shard_claim "$work/d1.log" && fail "the daemon claims shards"
echo "refused"
