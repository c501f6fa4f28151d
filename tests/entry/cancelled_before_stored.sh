#!/bin/bash
# Guards against a job that runs after its cancellation was answered with 410: the
# write that stores it had no answer, and is carried out after the cancellation.
. "$(dirname "$0")/lib.sh"
layout=1
retention_s=8
late_s=4
deploy 2 2
: >"$work/none"
find_owner
id=00000000000000f5
body='{"spec":"work=300","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]}'
status() { local answer; answer=$(request "$@"); echo "${answer##*\} }"; }
relay_mode "d$other" freeze
echo "submitted at a daemon whose store is silent: $(status POST "$other" $id "$body")"
echo "cancelled at the other one: $(status DELETE "$owner" $id)"
relay_mode "d$other" pass
wait_for "the daemon" 20 ready "$other"
sleep 2
echo "state: $(status GET "$owner" $id)and $(status GET "$other" $id)"
echo "starts: $(cat "$work"/runs.*.jsonl | grep '"event":"start"' | grep -c $id)"
echo "submitted again: $(request POST "$owner" $id "$body")and $(request POST "$other" $id "$body")"
sleep 1
echo "starts: $(cat "$work"/runs.*.jsonl | grep '"event":"start"' | grep -c $id)"
echo "cancelled again: $(status DELETE "$other" $id)"
id=00000000000000f6
echo "never submitted: $(status GET "$owner" $id)$(status DELETE "$owner" $id)$(status GET "$other" $id)"
id=00000000000000f7
echo "another job: $(status POST "$owner" $id "$body")$(status DELETE "$other" $id)$(status POST "$other" $id "$body")"
gone() { ! curl -s -m 1 "http://$address:$store_port/-/kv-range?prefix=rail/" | grep -q 'rail/cancel'; }
wait_for "the cancellations to go" 25 gone
echo "nothing is left of the cancellations"
verify "$work/none"
