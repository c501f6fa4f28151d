#!/bin/sh
# Guards against a job history from follow-job.sh that omits lines of another
# daemon, contains lines of other jobs or is not in the order of time.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/a.log" <<LOG
time=2026-12-04T10:00:01.000Z level=INFO program=p event=job_submitted job=aa shard=s0
time=2026-12-04T10:00:05.000Z level=INFO program=p event=request_answered job=aa status=200
time=2026-12-04T10:00:03.500Z level=INFO program=p event=start job=bb vm=w2
LOG
cat >"$work/b.log" <<LOG
 12.3 node time=2026-12-04T10:00:02.000Z level=INFO program=p event=start shard=s0 job=aa vm=w1
 12.4 node time=2026-12-04T10:00:03.000Z level=WARN program=p event=vm_lost vm=w1
 12.4 node time=2026-12-04T10:00:03.100Z level=WARN program=p event=vm_lost vm=w9
 12.5 node time=2026-12-04T10:00:04.000Z level=INFO program=p event=shard_owned shard=s0 token=7
 12.6 node time=2026-12-04T10:00:09.000Z level=INFO program=p event=vm_lost vm=w1
LOG
"$1" aa "$work/a.log" "$work/b.log" | grep -o 'event=[a-z_]*' >"$work/events"
diff -u - "$work/events" <<EXPECTED
event=job_submitted
event=start
event=vm_lost
event=shard_owned
event=request_answered
EXPECTED
