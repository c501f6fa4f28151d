#!/bin/sh
# Prints what all daemons logged about one job, in order of time, with the
# changes of owners, workers and the store meanwhile that bear on it.
set -eu
[ $# -ge 2 ] || { echo "usage: follow-job.sh JOB LOG..." >&2; exit 2; }
job=$1
shift
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
cat "$@" | sed -n 's/.*\(time=[0-9][^ ]*Z level=\)/\1/p' | sort -s -k1,1 >"$lines"
awk -v job="job=$job" '
  function field(name,   i) {
    for (i = 1; i <= NF; i++)
      if (index($i, name "=") == 1)
        return substr($i, length(name) + 2)
    return ""
  }
  function about(   i) {
    for (i = 1; i <= NF; i++)
      if ($i == job)
        return 1
    return 0
  }
  NR == FNR {
    if (about()) {
      if (first == "") first = $1
      last = $1
      vm = field("vm")
      if (vm != "") vms[vm] = 1
      if (field("shard") != "") shards[field("shard")] = 1
    }
    next
  }
  about() { print; next }
  $1 < first || $1 > last { next }
  field("event") ~ /^vm_(lost|regained|restarted|draining|unlisted|lease_expired|avoided)$/ && field("vm") in vms { print }
  field("event") ~ /^(shard_owned|shard_lost|inheritance_settled)$/ && field("shard") in shards { print }
  field("event") ~ /^store_watch_(lost|regained)$/ && field("prefix") != "rail/" { next }
  field("event") ~ /^(store_watch_lost|store_watch_regained|lease_lost|stopping|started)$/ { print }
' "$lines" "$lines"
