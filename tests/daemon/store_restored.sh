# Guards against work on lost data after the platform's store is restored from a
# backup.  The accepted configuration stays active and is written back.  A shard
# whose log lost entries halts with an alarm when it is taken over, and neither
# accepts jobs nor starts tasks.
. ./lib.sh
deploy z1 2 2
platform save
submit z1-d0 kept 2
wait_for "job ends" job_is batch:kept-j0 succeeded
sed 's/"memory_mb": 200000/"memory_mb": 200001/' \
  "$source/tests/daemon/session.jsonc" >"$work/newer.jsonc"
wait_for "newer configuration" apply z1-d0 "$work/newer.jsonc"
digest=$(status z1-d0 -r .digest)
platform restore
stored() {
  curl -s "http://$address:$platform_port/kv/config/head" | jq -r .value \
    | base64 -d | grep -q "$digest"
}
wait_for "the accepted configuration is written back" stored
for d in z1-d0 z1-d1; do
  echo "$d: generation $(status $d .generation), accepted digest: $(status $d --arg d "$digest" '.digest == $d')"
done
owner=$(status z1-d0 -r '.shards[5].owner') # of team "batch"
other=z1-d0
[ "$owner" = z1-d0 ] && other=z1-d1
late='{"id":"late","team":"batch","class":"scan","tasks":1,"cores_milli":1000,"memory_mb":100,"work_ms":100}'
curl -s -o /dev/null -X POST "$(http "$other")/v1/jobs" -d "$late"
kill_daemon "$owner"
wait_for "the shard stops" status $other \
  '.shards[5].state == "halted" and any(.alarms[]; .name == "shard")'
echo "shard of the team: halted, alarm raised"
starts=$(count_logged '.event == "start" and (.task | startswith("batch:"))')
echo "job: $(curl -s -X POST "$(http $other)/v1/jobs" -d "${late/late/later}" | jq -r .error.code)"
wait_for "workers move" status $other --arg o $other 'all(.workers[]; .owner == $o)'
echo "requests: $(one $other still true --timeout-ms 30000)"
echo "starts since: $(($(count_logged '.event == "start" and (.task | startswith("batch:"))') - starts))"
verify
